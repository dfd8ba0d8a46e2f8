package slowdisk

import (
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"time"

	"github.com/rotisserie/eris"
)

// Delays say how long the operations of a disk take. The zero value holds
// nothing up.
type Delays struct {
	// Sync and Write are added to each sync and to each write.
	Sync  time.Duration `json:"sync_ns,omitempty"`
	Write time.Duration `json:"write_ns,omitempty"`
	// Stalled holds up every sync for as long as it stands.
	Stalled bool `json:"stalled,omitempty"`
}

// Report tells what a disk has held up so far.
type Report struct {
	// Operations counts the syncs and writes that were held up.
	Operations int `json:"operations"`
	// Longest is the longest time that one of them was held up.
	Longest time.Duration `json:"longest_ns"`
}

const (
	filePermissions os.FileMode = 0o600
	// reportSuffix and newSuffix are added to the name of the steering file.
	reportSuffix = ".report"
	newSuffix    = ".new"
)

// Steer puts delays into force at the disk with this steering file.
func Steer(steering string, delays Delays) error {
	return eris.Wrap(replace(steering, delays), "steer a disk")
}

// ReadReport returns what the disk with this steering file has held up.
func ReadReport(steering string) (Report, error) {
	var report Report
	err := read(steering+reportSuffix, &report)
	return report, eris.Wrap(err, "read the report of a disk")
}

// replace writes a file as a whole, so that no reader sees a part of it.
func replace(path string, content any) error {
	encoded, err := json.Marshal(content)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+newSuffix, encoded, filePermissions); err != nil {
		return err
	}
	return os.Rename(path+newSuffix, path)
}

// read leaves the target as it is when there is no such file yet.
func read(path string, target any) error {
	content, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	return json.Unmarshal(content, target)
}
