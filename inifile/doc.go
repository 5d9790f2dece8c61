// Package inifile reads INI files with gopkg.in/ini.v1, but strictly: unknown sections and keys, and those that occur twice,
// are faults. Each fault is reported with its file, line, section and key.
package inifile
