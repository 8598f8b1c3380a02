// Package ctl implements damaskctl, the command-line tool for operators.
package ctl
