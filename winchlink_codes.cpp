// winchlink_codes.cpp: the numbered result codes.
//
// The only list of codes; logs, answers to callers and the test of docs/CODES.md use it.
//
// Index of this file:
// [SECTION] The list

#include "winchlink.h"

#include <algorithm>
#include <cassert>

namespace Winchlink
{

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
        {Code_TableTooLarge, "TableTooLarge", 0, "The table or a row is larger than its limit."},
        {Code_TableUnknownDataCentre, "TableUnknownDataCentre", 0, "An evacuated data centre has no target in the table."},
        {Code_TableDuplicateEvacuation, "TableDuplicateEvacuation", 0, "A data centre is evacuated twice."},
        {Code_NoTable, "NoTable", 503, "Not run: this instance has no table yet."},
        {Code_NoRoute, "NoRoute", 404, "Not run: no row of the table serves this host and path."},
        {Code_RowLimit, "RowLimit", 503, "Not run: the row's limit on requests in progress at this instance is reached."},
        {Code_NoTargetLeft, "NoTargetLeft", 503, "Not run: no target of the row may get work now."},
        {Code_TargetRefused, "TargetRefused", 503, "Not run: the target says that it did not run the request."},
        {Code_TargetsBusy, "TargetsBusy", 503, "Not run: no target that was asked has a free slot."},
        {Code_TargetsEvacuated, "TargetsEvacuated", 503, "Not run: all targets of the row are in evacuated data centres."},
        {Code_RequestHeld, "RequestHeld", 503,
         "Not run: targets have ended under this request, wherever it was tried; it is held for a while."},
        {Code_QuotaUsedUp, "QuotaUsedUp", 429, "Not run: the customer has made as many requests as it may; see Retry-After."},
        {Code_KeyNotLearnt, "KeyNotLearnt", 503,
         "Not run: the request's key is not known here, and the store can't be asked whether it is new."},
        {Code_TargetsLimited, "TargetsLimited", 503, "Not run: the targets have asked for fewer requests than there are; see Retry-After."},
        {Code_TargetsUnreachable, "TargetsUnreachable", 503, "Not run: this instance reaches no target of the row."},
        {Code_HandoffRefused, "HandoffRefused", 503, "Not run: this instance takes no more requests of other instances."},
        {Code_RouteNotLearnt, "RouteNotLearnt", 503,
         "Not run: no route known here serves this host and path, and there may be one: the store can't be asked, or rows are left out."},
        {Code_InstanceStopping, "InstanceStopping", 503,
         "Not run: this instance stops, perhaps before a target could answer; another one may serve it."},
        {Code_OutcomeUnknown, "OutcomeUnknown", 502, "Outcome unknown: the request was sent and no complete answer came."},
        {Code_DeadlinePassed, "DeadlinePassed", 504, "Outcome unknown: the deadline passed after the request was sent."},
        {Code_CallerGone, "CallerGone", 499, "The caller hung up; the target's work was cancelled."},
        {Code_BadDeadline, "BadDeadline", 400, "Not run: the deadline header is not a number of milliseconds."},
        {Code_BodyTooLarge, "BodyTooLarge", 413, "Not run: the request's body is larger than the limit."},
        {Code_HeadersTooLarge, "HeadersTooLarge", 431, "Not run: the request's headers are larger than the limit."},
        {Code_BadRequest, "BadRequest", 400, "Not run: what was sent is not a request in HTTP/1.1, or can be read in two ways."},
        {Code_KeyUnknown, "KeyUnknown", 401, "Not run: the request has no key, or one that is no customer's."},
        {Code_MessageMalformed, "MessageMalformed", 0, "A message can't be decoded."},
        {Code_PlatformUnreachable, "PlatformUnreachable", 0, "The platform's service does not answer."},
        {Code_PlatformBadAnswer, "PlatformBadAnswer", 0, "The platform's answer can't be understood."},
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
