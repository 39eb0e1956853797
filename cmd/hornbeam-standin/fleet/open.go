package fleet

import (
	"context"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

// BinariesFlag returns the flag for the directory of the programs.
func BinariesFlag() cli.Flag {
	return &cli.StringFlag{Name: "binaries", Usage: "`folder` of hornbeam-node and hornbeam-standin; the folder of this program if empty"}
}

// DirFlag returns the flag for the directory of settings files, logs and execution records.
func DirFlag() cli.Flag {
	return &cli.StringFlag{Name: "dir", Usage: "`folder` for settings, logs and records, which is not removed; a temporary one, which is removed, if empty"}
}

// BinariesDir returns the value of BinariesFlag or, if that is empty, the directory of the running program.
func BinariesDir(cmd *cli.Command) (string, error) {
	if dir := cmd.String("binaries"); dir != "" {
		return dir, nil
	}
	program, err := os.Executable()
	if err != nil {
		return "", errors.Wrap(err, "find the directory of this program")
	}
	return filepath.Dir(program), nil
}

// Open starts the deployment with its files in dir, or in a temporary directory if dir is empty. The returned function stops all
// processes, removes the temporary directory and returns the names of the processes that had to be killed. If Open returns an
// error, it has stopped all processes itself.
func Open(ctx context.Context, d Deployment, binaries, dir string) (*Fleet, func() []string, error) {
	remove := func() {}
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "hornbeamcroft-"); err != nil {
			return nil, nil, errors.Wrap(err, "create a temporary directory")
		}
		remove = func() { _ = os.RemoveAll(dir) }
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, errors.Wrap(err, "create the directory of the deployment")
	}
	f := &Fleet{Deployment: d, Binaries: binaries, Dir: dir}
	stop := func() []string {
		killed := f.Stop()
		remove()
		return killed
	}
	if err := f.Start(ctx); err != nil {
		stop()
		return nil, nil, err
	}
	return f, stop, nil
}
