package main

import (
	"fmt"
	"os"
)

// result is the exit status of a case.
type result int

// Results of a case.
const (
	held   result = 0
	broken result = 1
	failed result = 2
)

// cases holds the cases by number. trouble is false if the disruption is to be left out.
var cases = map[string]func(deployment *deployment, trouble bool) (result, error){
	"11": askAgainElsewhere,
	"12": restartAfterManyCancels,
	"13": cancelAfterRouteIsDropped,
	"14": startsAsAnotherKind,
	"15": sendsSpreadJobAgain,
}

// zones holds the zones of all cases.
var zones = []string{"ahd", "srt", "vdr"}

func main() { os.Exit(int(play(os.Args[1:]))) }

// play plays a case: its number, the program and the record's path.
func play(args []string) result {
	if len(args) != 3 || cases[args[0]] == nil {
		fmt.Println("usage: standin-3 CASE PROGRAM RECORD")
		return failed
	}
	record, err := newRecord(args[2])
	if err != nil {
		fmt.Println(err)
		return failed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record.line("case %s, disruption: %t", args[0], trouble)
	deployment, err := newDeployment(record, args[1], zones...)
	if err != nil {
		record.say("the case could not run: %v", err)
		return failed
	}
	defer deployment.close()
	outcome, err := cases[args[0]](deployment, trouble)
	if err != nil {
		record.say("the case could not run: %v", err)
		return failed
	}
	record.say("%s", map[result]string{held: "the rule was held", broken: "THE RULE WAS BROKEN", failed: "the case could not run"}[outcome])
	return outcome
}
