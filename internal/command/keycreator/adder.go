package keycreator

import (
	"fmt"
	"os"

	"github.com/google/renameio/v2"
)

// addKey puts a key in front of those in the file, in one step.
func addKey(file, text string) error {
	old, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read the keys: %w", err)
	}
	if err := renameio.WriteFile(file, append([]byte(text), old...), 0o600); err != nil {
		return fmt.Errorf("write the keys: %w", err)
	}
	return nil
}
