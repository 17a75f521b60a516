// winchlink_codes.cpp: the numbered result codes.
//
// One list, from which logs, answers to callers and the test of docs/CODES.md are made.
//
// Index of this file:
// [SECTION] Start
// [SECTION] The list

#include "winchlink.h"

#include <algorithm>
#include <cassert>
#include <sodium.h>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Start
//-----------------------------------------------------------------------------

bool Init()
{
    return sodium_init() >= 0;
}

//-----------------------------------------------------------------------------
// [SECTION] The list
//-----------------------------------------------------------------------------

const std::vector<CodeInfo>& AllCodes()
{
    static const std::vector<CodeInfo> list = {
        {Code_None, "None", 0, "No error."},
        {Code_SettingsUnreadable, "SettingsUnreadable", 0, "The settings file can't be read."},
        {Code_SettingsNotJson, "SettingsNotJson", 0, "The settings are not JSON, or name a key twice."},
        {Code_SettingsUnknownKey, "SettingsUnknownKey", 0, "The settings have a key that does not exist."},
        {Code_SettingsWrongType, "SettingsWrongType", 0, "A value in the settings has the wrong type."},
        {Code_SettingsMissingKey, "SettingsMissingKey", 0, "A required key of the settings is missing."},
        {Code_SettingsOutOfRange, "SettingsOutOfRange", 0, "A value in the settings is outside its range."},
        {Code_TableNotJson, "TableNotJson", 0, "The table is not JSON, or names a key twice."},
        {Code_TableUnknownKey, "TableUnknownKey", 0, "The table has a key that does not exist."},
        {Code_TableWrongType, "TableWrongType", 0, "A value in the table has the wrong type."},
        {Code_TableMissingKey, "TableMissingKey", 0, "A required key of the table is missing."},
        {Code_TableOutOfRange, "TableOutOfRange", 0, "A value in the table is outside its range."},
        {Code_TableDuplicateService, "TableDuplicateService", 0, "Two rows have the same name."},
        {Code_TableDuplicateRoute, "TableDuplicateRoute", 0, "Two rows serve the same host and path prefix."},
        {Code_TableDuplicateTarget, "TableDuplicateTarget", 0, "A row names the same target twice."},
        {Code_TableNoTargets, "TableNoTargets", 0, "A row has no targets."},
        {Code_TableBadAddress, "TableBadAddress", 0, "A target's address is not IP:port."},
        {Code_TableTooLarge, "TableTooLarge", 0, "The table or a value is larger than the platform holds."},
        {Code_TableDigestMismatch, "TableDigestMismatch", 0, "Rows and digest do not fit; the whole table is fetched instead."},
        {Code_TableOlder, "TableOlder", 0, "An older table was offered and refused."},
        {Code_TableConflict, "TableConflict", 0, "Two different tables have the same revision: publish again with a higher one."},
        {Code_NoTable, "NoTable", 503, "Not run: this instance has no table yet."},
        {Code_NoRoute, "NoRoute", 404, "Not run: no row of the table serves this host and path."},
        {Code_RowLimit, "RowLimit", 503, "Not run: the row's limit on concurrent work is reached."},
        {Code_NoTargetLeft, "NoTargetLeft", 503, "Not run: no target of the row may get work now."},
        {Code_DeadlineTooShort, "DeadlineTooShort", 503, "Not run: no target is expected to finish before the deadline."},
        {Code_InstanceBusy, "InstanceBusy", 503, "Not run: this instance is full for requests of this class."},
        {Code_InstanceLeaving, "InstanceLeaving", 503, "Not run: this instance is stopping."},
        {Code_InstanceWaking, "InstanceWaking", 503, "Not run: this instance was paused and has not yet caught up."},
        {Code_TargetRefused, "TargetRefused", 503, "Not run: the target says that it did not run the request."},
        {Code_ConnectFailed, "ConnectFailed", 503, "Not run: no connection to a target, nothing was sent."},
        {Code_OtherInstances, "OtherInstances", 421, "Not run: the row is served by other instances than this one."},
        {Code_TargetsBusy, "TargetsBusy", 503, "Not run: no target that was asked has a free slot."},
        {Code_OutcomeUnknown, "OutcomeUnknown", 502, "Outcome unknown: the request was sent and no complete answer came."},
        {Code_DeadlinePassed, "DeadlinePassed", 504, "Outcome unknown: the deadline passed after the request was sent."},
        {Code_AnswerBroken, "AnswerBroken", 502, "Outcome unknown: the target's answer was not complete, valid HTTP."},
        {Code_CallerGone, "CallerGone", 499, "The caller hung up; the target's work was cancelled."},
        {Code_AnswerTooLarge, "AnswerTooLarge", 502, "Outcome unknown: the target's answer is larger than the limit."},
        {Code_BadDeadline, "BadDeadline", 400, "Not run: the deadline header is not a number of milliseconds."},
        {Code_BodyTooLarge, "BodyTooLarge", 413, "Not run: the request's body is larger than the limit."},
        {Code_BadRequest, "BadRequest", 400, "Not run: the request can't be understood."},
        {Code_MessageTooShort, "MessageTooShort", 0, "A message from a peer is too short."},
        {Code_MessageBadMark, "MessageBadMark", 0, "A message does not carry a valid mark: wrong key, or forged."},
        {Code_MessageBadVersion, "MessageBadVersion", 0, "A message has a protocol version that this build does not speak."},
        {Code_MessageBadType, "MessageBadType", 0, "A message has an unknown type."},
        {Code_MessageMalformed, "MessageMalformed", 0, "A message can't be decoded."},
        {Code_MessageReplayed, "MessageReplayed", 0, "A message is older than one already seen from its sender."},
        {Code_PlatformUnreachable, "PlatformUnreachable", 0, "The platform's service does not answer."},
        {Code_PlatformBadAnswer, "PlatformBadAnswer", 0, "The platform's answer can't be understood."},
        {Code_PlatformOlder, "PlatformOlder", 0, "The platform serves an older table than the one in force."},
        {Code_PlatformTorn, "PlatformTorn", 0, "Index and rows of the platform do not fit; they are read again."},
        {Code_ListenFailed, "ListenFailed", 0, "An address of this instance can't be listened on."},
        {Code_ForcedStop, "ForcedStop", 0, "A second stop signal ended the instance with requests in progress."},
        {Code_Usage, "Usage", 0, "The command line can't be understood."},
        {Code_StatusUnreachable, "StatusUnreachable", 0, "The instance does not answer on its operators' address."},
    };
    return list;
}

const CodeInfo& FindCode(Code_ code)
{
    const std::vector<CodeInfo>& list = AllCodes();
    auto found = std::lower_bound(list.begin(), list.end(), code, [](const CodeInfo& info, Code_ c) { return info.Code < c; });
    assert(found != list.end() && found->Code == code && "a code was added to the enum but not to AllCodes()");
    return *found;
}

} // namespace Winchlink
