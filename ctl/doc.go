// Package ctl is the library behind damaskctl, the operators' tool.
package ctl
