// Package platformsettings reads the settings of the platform's protocol and translates them into those of the decision
// module. It is the one place that maps the protocol's names of settings, classes and load values to the program's terms.
package platformsettings
