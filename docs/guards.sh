#!/usr/bin/env bash
# Takes out one guard at a time, in a copy of the tree, and runs the test that
# docs/PROOFS.md names for it. Each must fail. Usage: docs/guards.sh [NAME …]
set -uo pipefail
cd "$(dirname "$0")/.."
copy="$(mktemp -d)"
trap 'rm -rf "$copy"' EXIT
wanted=" $* "
green=0

# guard NAME FILE PERL-EXPRESSION PACKAGE TEST
guard() {
	[ "$wanted" != "  " ] && [[ "$wanted" != *" $1 "* ]] && return
	git ls-files -z | xargs -0 cp --parents -t "$copy"
	perl -0pi -e "$3" "$copy/$2"
	if cmp -s "$2" "$copy/$2"; then
		echo "$1: the guard was not found in $2"
		green=1
		return
	fi
	local out
	if out="$(cd "$copy" && go test "./$4" -run "$5" -count=1 -timeout 120s 2>&1)"; then
		echo "$1: $5 stayed green"
		green=1
		return
	fi
	echo "$1: $5 red: $(echo "$out" | grep -vE '^(=== |--- |\s*\{|panic: test timed|FAIL|$)' | head -1 | sed 's/\x1b\[[0-9;]*m//g' | cut -c1-150)"
}

guard frameIdentity streamer/streamer.go 's/if f\.RequestID != r\.job\.ID \|\|[^{]*\{/if false {/' streamer TestFrames
guard frameLayers streamer/streamer.go 's/if !spansMatch\(f\.Spans, stages\) \{/if false {/' runner TestStageReloaded
guard watchdog streamer/watchdog.go 's/AfterFunc\(w\.silenceLimit, w\.expire\)/AfterFunc(w.silenceLimit, func() {})/' runner TestStagePaused
guard claim deduplicator/deduplicator.go 's/old\.Nonce == abandonedNonce && old\.State == StateClaimed/old.State == StateClaimed/' runner TestRepeatsAtOnce
guard liveNonce deduplicator/deduplicator.go 's/running = d\.liveNonces\[nonce\]/running = false/' runner TestRepeatsAtOnce
guard generations deduplicator/bucket.go 's/if g\.doc\.Records\[key\] != nil \{/if false {/' deduplicator TestTurnOfGeneration
guard notSentTwice server/caller.go 's/if once \{/if false {/' runner TestKeyedEmptyBody
guard unknownOutcome server/services.go 's/if !errors\.Is\(err, streamer\.ErrNotSent\) \{\n\t\t\treturn out, true, false/if false {\n\t\t\treturn out, true, false/' runner TestAnswerLostUpstream
guard notRun server/completions.go 's/k\.started = res\.Started/k.started = false/' runner TestPoison
guard neverBack watcher/watcher.go 's/head\.Revision <= (w\.Revision\(\)|old)/false/g' watcher TestNeverBack
guard operatorsRace watcher/watcher.go 's/if head\.Revision != base \{/if false {/' runner TestOperatorsRace
guard lostSubmission watcher/watcher.go 's/; ok \{\n\t\treturn rev, nil/; ok && false {\n\t\treturn rev, nil/' runner TestLostSubmission
guard freshHost runner/runner.go 's/return !h\.configWatcher\.Behind\(\) && /return /' runner TestFreshHost
guard leaving tracker/tracker.go 's/if u\.leaving\(\) \{/if false {/' runner TestLeavingListed
guard gracefulStop runner/runner.go 's/left := h\.apiServer\.Wait\(stopCtx\)/left := int64(0)/; s/h\.drainConnections\(stopCtx\)//' runner TestRollingReplacement
guard lastByte runner/runner.go 's/h\.drainConnections\(stopCtx\)//' runner TestStopAtLastByte
guard quarantine tracker/suspects.go 's/if len\(strikes\) < soleStrikeThreshold \|\|/if true ||/' runner TestPoison
guard leaseDeadline planner/planner.go 's/context\.WithDeadline\(ctx, t\.expiresAt\)/context.WithCancel(ctx)/' planner TestPausedHolder
guard retryBudget admitter/admitter.go 's/if b\.spent\+1 > b\.Burst \{/if false {/' runner TestRetryBudget
guard heal gossiper/gossiper.go 's/if n%reconnectEveryPeriods == 0 \{/if false {/' gossiper TestPartition
guard refute gossiper/gossiper.go 's/if old > it\.Incarnation \{/if true {/' gossiper TestRefute
guard pace tracker/pace.go 's/f \*= paceDecrease/f *= 1/' router TestPolicies
guard strangers gossiper/gossiper.go 's/if n <= joinPeriods \|\| n%reconnectEveryPeriods == 0 \{/if false {/' gossiper TestStartedAtOnce
guard recordAddress gossiper/gossiper.go 's/if address != "" && /if false \&\& /' runner TestJoinedHostAsked
guard olderList follower/follower.go 's/if revision <= newest \{/if false {/' follower TestOlderList
guard runsBounded forwarder/stream.go 's/n\.AllowedFirst = k\.allowedFirsts\(\)/_ = k.allowedFirsts()/' launcher TestStreamRunsBounded
guard forwardQuarantine forwarder/forwarder.go 's/if k\.refuseQuarantined\(\) \{/if false \&\& k.refuseQuarantined() {/g' launcher TestPoison
guard upstreamBackoff balancer/backoff.go 's/return a != nil && a\.backoffUntil > now/return false/' launcher TestUpstreamBackoff
guard backoffAtSend forwarder/forwarder.go 's/MaySend:    func\(\) bool \{[^}]*\},//' launcher TestBackoffAtSend
guard leavingHeader balancer/backoff.go 's/a\.isLeaving, a\.leavingSince = true, now/a.leavingSince = now/; s/u\.Leaving = true//' launcher TestLeavingHeader
guard engineBackoff forwarder/transport.go 's/if id != "" && !f[^{]*\{/if false {/' platform TestEngineBackoff
guard rejectedOnce forwarder/forwarder.go 's/n\.Avoid = k\.rejecters/n.Avoid = nil/; s/len\(k\.avoid\) > len\(k\.rejecters\)/len(k.avoid) > 0/' launcher TestRejectedOnce
guard linksLast balancer/path.go 's/crossingCost = 10 \* time\.Second/crossingCost = 200 * time.Millisecond/' balancer TestLinksLast
guard silentCounts balancer/health.go 's/return u == nil \|\| u\.stopped/return u == nil || u.dead/' balancer TestLost
exit "$green"
