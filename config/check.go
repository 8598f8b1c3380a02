package config

import (
	"encoding/hex"
	"net/netip"
	"net/url"
	"strings"
)

// digestHexLength is the number of hex digits of a SHA-256 digest.
const digestHexLength = 64

func checkName(path string, s Text) error {
	if s == "" {
		return newFieldError(path, "it is missing; set a name that is unique over all regions")
	}
	if strings.ContainsAny(string(s), " /\\\t\n") {
		return newFieldError(path, "%q has a space or a slash; use letters, digits, '-', '_' and '.'", s)
	}
	return nil
}

// checkListenAddr accepts an address "ip:port" to listen on; any IP address and
// any port are valid.
func checkListenAddr(path string, s Text) error {
	if _, err := netip.ParseAddrPort(string(s)); err != nil {
		return newFieldError(path, "%q is not an address; write it as ip:port", s)
	}
	return nil
}

// checkReachableAddr accepts an address "ip:port" that another VM can connect
// to, so neither port 0 nor an unspecified IP address.
func checkReachableAddr(path string, s Text) error {
	a, err := netip.ParseAddrPort(string(s))
	if err != nil {
		return newFieldError(path, "%q is not an address; write it as ip:port", s)
	}
	if a.Port() == 0 || a.Addr().IsUnspecified() {
		return newFieldError(path, "%q cannot be called; write the VM's IP address and a port", s)
	}
	return nil
}

func checkURL(path string, s Text) error {
	u, err := url.Parse(string(s))
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return newFieldError(path, "%q is not a URL; write it like http://10.0.0.1:8080", s)
	}
	return nil
}

func checkDirectory(path string, s Text) error {
	if s == "" {
		return newFieldError(path, "it is missing; set the path of a folder")
	}
	return nil
}

func checkDigest(path string, s Text) error {
	if _, err := hex.DecodeString(string(s)); err != nil || len(s) != digestHexLength || strings.ToLower(string(s)) != string(s) {
		return newFieldError(path, "%q is not a SHA-256 digest in lower-case hex; make one with damaskctl keys token", s)
	}
	return nil
}

func checkLogLevel(path string, s Text) error {
	switch s {
	case "debug", "info", "warn", "error":
		return nil
	}
	return newFieldError(path, "%q is not a log level; use debug, info, warn or error", s)
}

// checkRange accepts values from low to high, both inclusive.
func checkRange[T ~int | ~int64 | ~float64](path string, v, low, high T) error {
	if v < low || v > high {
		return newFieldError(path, "%v is out of bounds; use %v to %v", v, low, high)
	}
	return nil
}
