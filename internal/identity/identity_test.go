package identity

import (
	"errors"
	"math/rand"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/thorntiller/thorntiller/internal/checkedfile"
	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/vfs"
)

func TestIdentitySurvivesAndIsChecked(t *testing.T) {
	disk := vfs.NewMemory(rand.New(rand.NewSource(1)))
	want := Identity{Replica: 7, Cluster: "c", Founders: []consensus.Member{{ID: 7, Name: "one", Address: "127.0.0.1:1"}}}
	if _, found, err := Load(disk, "/data"); found || err != nil {
		t.Errorf("load before the first save: %v, %v", found, err)
	}
	if err := Save(disk, "/data", Identity{Cluster: "c"}); err == nil {
		t.Error("an identity without a replica identifier was saved")
	}
	if err := Save(disk, "/data", want); err != nil {
		t.Fatal(err)
	}
	disk.Crash()
	if got, found, err := Load(disk, "/data"); err != nil || !found || !reflect.DeepEqual(got, want) {
		t.Errorf("load after a crash: %+v, %v, %v", got, found, err)
	}
	path := filepath.Join("/data", fileName)
	size, err := disk.Size(path)
	if err != nil {
		t.Fatal(err)
	}
	for bit := range size * 8 {
		flipErr := disk.FlipBit(path, bit)
		_, _, err := Load(disk, "/data")
		var damage *checkedfile.DamageError
		if flipErr != nil || !errors.As(err, &damage) || damage.File != path {
			t.Errorf("bit %d flipped: %v, %v", bit, flipErr, err)
		}
		if err := disk.FlipBit(path, bit); err != nil {
			t.Fatal(err)
		}
	}
	disk.LoseDisk()
	if _, found, err := Load(disk, "/data"); found || err != nil {
		t.Errorf("load from a lost disk: %v, %v", found, err)
	}
}

func TestFolderIsLockedOnce(t *testing.T) {
	directory := filepath.Join(t.TempDir(), "data")
	first, err := Lock(directory)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Lock(directory); !errors.Is(err, ErrLocked) {
		t.Errorf("second lock: %v", err)
	}
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	second, err := Lock(directory)
	if err != nil {
		t.Fatal(err)
	}
	if err := second.Close(); err != nil {
		t.Fatal(err)
	}
}
