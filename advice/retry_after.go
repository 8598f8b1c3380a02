package advice

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// MaxPause is the longest pause that is kept. A runner that asks for a longer one
// is asked again after it.
const MaxPause = 5 * time.Minute

// ParseRetryAfter reads the value of a Retry-After header: seconds, also with
// decimals, or a date (RFC 9110, section 10.2.3). It returns false if the value is
// neither, or names no time after now.
func ParseRetryAfter(value string, now time.Time) (time.Duration, bool) {
	value = strings.TrimSpace(value)
	pause := time.Duration(0)
	if seconds, err := strconv.ParseFloat(value, 64); err == nil {
		if math.IsNaN(seconds) || math.IsInf(seconds, 0) {
			return 0, false
		}
		pause = time.Duration(min(seconds, MaxPause.Seconds()) * float64(time.Second))
	} else if at, err := http.ParseTime(value); err == nil {
		pause = at.Sub(now)
	}
	if pause <= 0 {
		return 0, false
	}
	return min(pause, MaxPause), true
}
