package keycreator

import (
	"fmt"
	"os"
	"strings"

	"github.com/google/renameio/v2"
)

// addKey puts a key behind those in the file, in one step.
func addKey(file, text string) error {
	old, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read the keys: %w", err)
	}
	// A file without a newline at its end must not join two keys.
	keys := strings.Join(append(strings.Fields(string(old)), text), "\n")
	if err := renameio.WriteFile(file, []byte(keys), 0o600); err != nil {
		return fmt.Errorf("write the keys: %w", err)
	}
	return nil
}
