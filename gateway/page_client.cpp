// page_client.cpp: HTTP client of the operators' commands.

#include "page_client.h"

#include "client.h"

#include <fmt/format.h>

namespace Winchlink
{

static constexpr TimeUs PageTimeoutUs = 3 * UsPerSecond;
static constexpr size_t PageMax = 64 * MiB;

Result<std::string> FetchPage(const std::string& address, const std::string& method, const std::string& target)
{
    EventLoop loop;
    Client client;
    ClientStart(&client, &loop);
    ClientRequest request;
    request.Address = address;
    request.Method = method;
    request.Target = target;
    request.HasBody = method == "POST";
    request.TimeoutUs = PageTimeoutUs;
    request.MaxAnswerBytes = PageMax;
    ClientAnswer answer = ClientSendAndWait(&client, std::move(request));
    if (answer.End != ClientEnd_Answered)
    {
        return Error{Code_StatusUnreachable, address + ": " + answer.Detail};
    }
    if (answer.Status != 200)
    {
        return Error{Code_StatusUnreachable, fmt::format("{}: status {}", address, answer.Status)};
    }
    return std::move(answer.Body);
}

} // namespace Winchlink
