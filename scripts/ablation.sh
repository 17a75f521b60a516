#!/usr/bin/env bash
# Ablation study: for each mechanism, makes a copy of this tree with the mechanism disabled and runs a benchmark in it.
#
# Usage: ablation.sh FOLDER PLAY...
# PLAY is the command to run in each copy; it gets the mechanism's name as its last argument, and must build the copy itself.
# FOLDER receives one copy for each mechanism and is not removed. ONLY="name name" limits the run to these mechanisms, with "-" for blanks.
#
# Mechanisms are disabled by editing a constant or a condition with sed, so that the program needs no settings for it. An edit that changes
# nothing is an error: its expression no longer matches the source.
set -eu
cd "$(dirname "$0")/.."

Folder=$1
shift

# name ~ file ~ sed expression that disables it
Mechanisms=(
    "nothing~winchlink.h~"
    "asking before sending~winchlink_choose.cpp~s/if (!step->View.Pool->ReportsLoad || !step->View.Request.MayProbe)/if (true)/"
    "sharing questions~requests/choose.cpp~s/if (waiters.size() == 1)/if (true)/"
    "reusing reports~winchlink.h~s/ReportReuseUs = 8 \* UsPerMs/ReportReuseUs = 0/"
    "near first~winchlink_pool.cpp~s/^    RemovePreviousIncarnation(pool, listed);/    near = true;\n&/"
    "keeping to the same targets~winchlink_pool.cpp~s/^void PoolSent(/static void RemoveFromGroup(TargetPool* pool, PoolTarget* target);\nstatic void AddToGroup(TargetPool* pool, PoolTarget* target);\n\n&/;s/^    target->New = false;/&\n    RemoveFromGroup(pool, target);\n    const auto mixed = static_cast<uint64_t>(target->Order ^ now) * 2654435761;\n    target->Order = static_cast<int64_t>(mixed % 1000000000000000) \/ std::max(target->Weight, 1);\n    AddToGroup(pool, target);/"
    "waiting for a slot~winchlink.h~s/ProbeRetryUs = 20 \* UsPerMs/ProbeRetryUs = 60 * UsPerSecond/"
    "handing freed slots on~winchlink_choose.cpp~s/if (chooser->Waiting \&\& found/if (false \&\& chooser->Waiting \&\& found/"
    "leaving out what would be late~winchlink_choose.cpp~s/return cost \* request.WorkUs < static_cast<double>(end - step.Now);/return cost >= 0 || end > 0;/"
    "learning nearly full targets~winchlink.h~s/double NearlyFullFactor = 1.4;/double NearlyFullFactor = 1.0;/;s/double NearlyFullFactorMax = 3.0;/double NearlyFullFactorMax = 1.0;/"
    "warm-up of new targets~winchlink.h~s/double ColdFactor = 2.0;/double ColdFactor = 1.0;/"
    "avoiding failed targets~winchlink.h~s/TimeUs AvoidUs = 200 \* UsPerMs;/TimeUs AvoidUs = 0;/"
    "careful with unsafe requests~winchlink.h~s/TimeUs AvoidUnsafeUs = 3 \* UsPerSecond;/TimeUs AvoidUnsafeUs = 0;/"
    "second attempts~requests/forward.h~s/double SlowFactor = 1.7;/double SlowFactor = 1e6;/"
    "requests side by side~gateway/listener.h~s/size_t OverlapMax = 8;/size_t OverlapMax = 1;/"
    "return schedule~winchlink.h~s/TimeUs MaxUs = 5 \* UsPerSecond;/TimeUs MaxUs = 300 * UsPerMs;/"
    "quick return from ill targets~requests/attempt.cpp~s/return load \&\& load->Running/return false \&\& load \&\& load->Running/"
    "priorities~winchlink_choose.cpp~s/return a.Priority != b.Priority ? a.Priority < b.Priority : /return /"
    "new targets first~winchlink_pool.cpp~s/target->New = pool->InUse;/target->New = false;/"
    "one new target only~winchlink_pick.cpp~s/const bool had_new = /const bool had_new = false \&\& /"
    "reading through few~winchlink_follow.cpp~s/follow->Reads = names.empty()/follow->Reads = true || names.empty()/"
    "first callers worth a call~requests/forward.h~s/size_t PlanWaitersPerStoreCall = 6;/size_t PlanWaitersPerStoreCall = 1000000;/"
    "waiting for the first plan~requests/forward.h~s/600 \* UsPerMs; \/\/ After a start/0; \/\/ After a start/"
    "retries for later tries~gateway/settings.h~s/double FirstTryShare = 0.25;/double FirstTryShare = 1;/"
    "sharing load~gateway/settings.h~s/bool ShareLoad = true;/bool ShareLoad = false;/"
    "dividing load~gateway/settings.cpp~s/out->DivideLoad = out->ShareLoad;/out->DivideLoad = false;/"
)

for Entry in "${Mechanisms[@]}"
do
    IFS='~' read -r Name File Edit <<<"$Entry"
    [ -z "${ONLY:-}" ] || [[ " $ONLY " == *" ${Name// /-} "* ]] || continue
    Copy="$Folder/${Name// /-}"
    mkdir -p "$Copy"
    git ls-files -z | grep -zv '^journal/' | xargs -0 tar cf - | tar xf - -C "$Copy"
    sed -i "$Edit" "$Copy/$File"
    if [ -n "$Edit" ] && cmp -s "$File" "$Copy/$File"
    then
        echo "ablation: the edit for '$Name' changes nothing in $File" >&2
        exit 1
    fi
    (cd "$Copy" && "$@" "${Name// /-}")
done
