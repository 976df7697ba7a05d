package journaler

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"

	"github.com/google/renameio/v2"
)

// File is an open segment or lock file of a journal.
type File interface {
	Write(p []byte) (int, error)
	Sync() error
	Close() error
}

// Files are the file system operations that a journal needs. Tests replace them to inject
// failures.
type Files struct {
	// Create makes a new empty file and opens it for appending.
	Create func(path string) (File, error)
	// Append opens an existing file for appending, truncated to size bytes.
	Append func(path string, size int64) (File, error)
	// Replace writes a file durably: after a crash, the path holds either the old content or
	// all of data.
	Replace func(path string, data []byte) error
	// Read returns the content of a file.
	Read func(path string) ([]byte, error)
	// List returns the sorted names in a folder, and creates the folder if it does not exist.
	List func(folder string) ([]string, error)
	// Remove deletes a file.
	Remove func(path string) error
	// SyncFolder makes the names in a folder durable.
	SyncFolder func(folder string) error
	// Lock locks the folder for this process until the returned file is closed.
	Lock func(folder string) (File, error)
}

// SystemFiles returns the operations of the operating system.
func SystemFiles() Files {
	return Files{
		Create:     createFile,
		Append:     appendFile,
		Replace:    replaceFile,
		Read:       os.ReadFile,
		List:       listFolder,
		Remove:     os.Remove,
		SyncFolder: syncFolder,
		Lock:       lockFolder,
	}
}

const (
	fileMode   = 0o600
	folderMode = 0o700
)

func createFile(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, fileMode)
}

func appendFile(path string, size int64) (File, error) {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return nil, err
	}
	if err := f.Truncate(size); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	if err := f.Sync(); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

func replaceFile(path string, data []byte) error {
	if err := renameio.WriteFile(path, data, fileMode); err != nil {
		return err
	}
	return syncFolder(filepath.Dir(path))
}

func listFolder(folder string) ([]string, error) {
	list, err := os.ReadDir(folder)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, os.MkdirAll(folder, folderMode)
	}
	names := make([]string, 0, len(list))
	for _, e := range list {
		names = append(names, e.Name())
	}
	return names, err
}

func syncFolder(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

func lockFolder(folder string) (File, error) {
	f, err := os.OpenFile(filepath.Join(folder, lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(fmt.Errorf("folder %s is in use by another process: %w", folder, err), f.Close())
	}
	return f, nil
}
