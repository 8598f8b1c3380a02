package config

import (
	"encoding/hex"
	"net/netip"
	"net/url"
	"strings"
)

const digestHexLength = 64

func checkName(path string, s Text) error {
	if s == "" {
		return field(path, "it is missing; set a name that is unique over all regions")
	}
	if strings.ContainsAny(string(s), " /\\\t\n") {
		return field(path, "%q has a space or a slash; use letters, digits, '-', '_' and '.'", s)
	}
	return nil
}

// checkListen accepts "ip:port" with any port.
func checkListen(path string, s Text) error {
	if _, err := netip.ParseAddrPort(string(s)); err != nil {
		return field(path, "%q is no address; write it as ip:port", s)
	}
	return nil
}

// checkAddr accepts an address that another VM can call.
func checkAddr(path string, s Text) error {
	a, err := netip.ParseAddrPort(string(s))
	if err != nil {
		return field(path, "%q is no address; write it as ip:port", s)
	}
	if a.Port() == 0 || a.Addr().IsUnspecified() {
		return field(path, "%q cannot be called; write the VM's IP address and a port", s)
	}
	return nil
}

func checkURL(path string, s Text) error {
	u, err := url.Parse(string(s))
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return field(path, "%q is no URL; write it like http://10.0.0.1:8080", s)
	}
	return nil
}

func checkFolder(path string, s Text) error {
	if s == "" {
		return field(path, "it is missing; set the path of a folder")
	}
	return nil
}

func checkDigest(path string, s Text) error {
	if _, err := hex.DecodeString(string(s)); err != nil || len(s) != digestHexLength || strings.ToLower(string(s)) != string(s) {
		return field(path, "%q is no SHA-256 digest in lower-case hex; make one with damaskctl keys token", s)
	}
	return nil
}

func checkLevel(path string, s Text) error {
	switch s {
	case "debug", "info", "warn", "error":
		return nil
	}
	return field(path, "%q is no log level; use debug, info, warn or error", s)
}

// checkRange accepts a value from low to high.
func checkRange[T ~int | ~int64 | ~float64](path string, v, low, high T) error {
	if v < low || v > high {
		return field(path, "%v is out of bounds; use %v to %v", v, low, high)
	}
	return nil
}
