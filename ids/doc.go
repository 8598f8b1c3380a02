// Package ids defines the identifiers that damaskbridge processes exchange.
package ids
