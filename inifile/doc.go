// Package inifile reads INI files strictly, on gopkg.in/ini.v1: every section and key must be known, none may occur twice,
// and each fault is reported with its file, line, section and key.
package inifile
