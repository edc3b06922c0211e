package dispatcher

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"time"
)

// Limits that no bundle can raise.
const (
	// MaxTasks is the largest number of tasks in one job.
	MaxTasks = 130
	// MaxNameBytes is the longest idempotency key, kind, team or task name, in bytes.
	MaxNameBytes = 128
)

// Task is one unit of work of a job.
type Task struct {
	name    string
	payload json.RawMessage
}

// NewTask returns a task named name that passes payload, a JSON value, to its target.
func NewTask(name string, payload json.RawMessage) Task {
	return Task{name: name, payload: payload}
}

// Name returns the task's name, unique within its job.
func (task Task) Name() string { return task.name }

// Payload returns the JSON value that is passed to the target.
func (task Task) Payload() json.RawMessage { return task.payload }

// Job is a set of tasks of one kind that share a deadline and get one answer.
type Job struct {
	key      string
	kind     string
	team     string
	deadline time.Time
	tasks    []Task
}

// NewJob returns a job whose answer is due by deadline; the caller must not modify tasks afterwards.
func NewJob(key, kind, team string, deadline time.Time, tasks []Task) Job {
	return Job{key: key, kind: kind, team: team, deadline: deadline, tasks: tasks}
}

// Key returns the idempotency key, empty if the caller sent none.
func (job Job) Key() string { return job.key }

// Kind returns the kind of the job's tasks.
func (job Job) Kind() string { return job.kind }

// Team returns the team whose quota the job counts against.
func (job Job) Team() string { return job.team }

// Deadline returns the time by which an answer is due.
func (job Job) Deadline() time.Time { return job.deadline }

// Tasks returns the job's tasks in the order of the request; callers must not modify them.
func (job Job) Tasks() []Task { return job.tasks }

// WithKey returns a copy of the job with another idempotency key.
func (job Job) WithKey(key string) Job {
	job.key = key
	return job
}

// Digest is a hash of a job's kind, team and tasks, but not of its key and deadline.
type Digest [sha256.Size]byte

// String returns the digest in hexadecimal.
func (digest Digest) String() string { return hex.EncodeToString(digest[:]) }

// Digest returns the digest of the job.
func (job Job) Digest() Digest {
	hash := sha256.New()
	var length [8]byte
	write := func(text []byte) {
		// The length prefix gives ("ab", "c") and ("a", "bc") different digests.
		binary.BigEndian.PutUint64(length[:], uint64(len(text)))
		hash.Write(length[:])
		hash.Write(text)
	}
	write([]byte(job.kind))
	write([]byte(job.team))
	for _, task := range job.tasks {
		write([]byte(task.name))
		write(task.payload)
	}
	var digest Digest
	hash.Sum(digest[:0])
	return digest
}
