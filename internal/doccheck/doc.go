// Package doccheck contains tests that check the documentation against the code.
package doccheck
