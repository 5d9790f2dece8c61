// Package simcodec decodes the events of the simulator's binary protocol into the types of package policy, and encodes the
// actions of that package. The settings of an instance stay text, which package platformsettings parses.
package simcodec
