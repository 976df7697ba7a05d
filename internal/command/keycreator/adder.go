package keycreator

import (
	"fmt"
	"os"
	"strings"

	"github.com/google/renameio/v2"
)

// addKey appends a key to the file and replaces the file atomically.
func addKey(file, text string) error {
	old, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read the keys: %w", err)
	}
	// Keys are split and joined again, since a file without a trailing newline would
	// otherwise end up with two keys on one line.
	keys := strings.Join(append(strings.Fields(string(old)), text), "\n")
	if err := renameio.WriteFile(file, []byte(keys), 0o600); err != nil {
		return fmt.Errorf("write the keys: %w", err)
	}
	return nil
}
