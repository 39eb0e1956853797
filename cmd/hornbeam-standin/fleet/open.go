package fleet

import (
	"context"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

// BinariesFlag is the flag of the folder with the programs.
func BinariesFlag() cli.Flag {
	return &cli.StringFlag{Name: "binaries", Usage: "`folder` of hornbeam-node and hornbeam-standin; that of this program if empty"}
}

// DirFlag is the flag of the folder for settings, logs and records.
func DirFlag() cli.Flag {
	return &cli.StringFlag{Name: "dir", Usage: "`folder` for settings, logs and records, which is kept; a temporary one if empty"}
}

// BinariesOf returns the value of BinariesFlag or the folder of the running program.
func BinariesOf(cmd *cli.Command) (string, error) {
	if dir := cmd.String("binaries"); dir != "" {
		return dir, nil
	}
	program, err := os.Executable()
	if err != nil {
		return "", errors.Wrap(err, "find the programs")
	}
	return filepath.Dir(program), nil
}

// Open starts the deployment with its files in dir, or in a temporary folder if dir is empty. The returned function
// stops all processes, removes the temporary folder and returns the names of processes that had to be killed.
func Open(ctx context.Context, d Deployment, binaries, dir string) (*Fleet, func() []string, error) {
	remove := func() {}
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "hornbeamcroft-"); err != nil {
			return nil, nil, errors.Wrap(err, "temporary folder")
		}
		remove = func() { _ = os.RemoveAll(dir) }
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, errors.Wrap(err, "folder")
	}
	f := &Fleet{Deployment: d, Binaries: binaries, Dir: dir}
	stop := func() []string {
		late := f.Stop()
		remove()
		return late
	}
	if err := f.Start(ctx); err != nil {
		stop()
		return nil, nil, err
	}
	return f, stop, nil
}
