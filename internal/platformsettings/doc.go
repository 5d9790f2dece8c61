// Package platformsettings parses the platform's settings and translates them into those of package policy. It is the only
// place that maps the platform's names of settings, of fields of classes and of load values to the terms of this program.
package platformsettings
