package raftnode

import (
	"github.com/sirupsen/logrus"

	"alderproxy/sharedconfig"
)

// scheduleActivation makes activateVersions activate a version. It replaces a version that still waits for its activation.
// Only the event loop calls it.
func (i *instance) scheduleActivation(version sharedconfig.Version) {
	select {
	case <-i.activations:
	default:
	}
	i.activations <- version
}

// activateVersions activates and stores the scheduled versions until the instance stops.
func (i *instance) activateVersions() {
	for {
		select {
		case version := <-i.activations:
			i.activateAndStore(version)
			i.events.wakeLoop()
		case <-i.stop:
			return
		}
	}
}

func (i *instance) activateAndStore(version sharedconfig.Version) {
	if !i.activate(version) {
		return
	}
	if err := i.directory.setActiveVersion(version); err != nil {
		i.config.Log.WithError(err).Error("cannot store the active version")
	}
}

// activate makes the instance serve a version and reports whether it succeeded.
func (i *instance) activate(version sharedconfig.Version) bool {
	log := i.logWithState().WithFields(logrus.Fields{
		"version": version.Number,
		"digest":  version.Digest,
		"author":  version.Author,
		"reason":  version.Reason,
	})
	if err := i.config.ActivateVersion(version); err != nil {
		log.WithError(err).Error("cannot activate the version: the previous one is served until its lease expires")
		return false
	}
	i.servedVersion.Store(version.Number)
	log.Info("version active")
	return true
}
