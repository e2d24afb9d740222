#ifndef MASTICRILL_CLI_OPERATOR_CLIENT_H_
#define MASTICRILL_CLI_OPERATOR_CLIENT_H_

#include <boost/program_options/options_description.hpp>
#include <string>

#include "cli/command.h"
#include "masticrill/net/http_client.h"

namespace masticrill::cli {

/// Declares the options of every command that talks to a control host: its address and the key.
void DeclareOperatorOptions(boost::program_options::options_description& description);

/// Sends a request to the control host named by the options or the environment, with the operator's
/// key. Fails with kUnavailable when none of the named hosts answers.
Result<net::HttpAnswer> CallControl(const Arguments& arguments, net::HttpCall call);

/// The same, for an answer that must have status 200; any other becomes an error with the host's
/// message.
Result<net::HttpAnswer> CallControlOk(const Arguments& arguments, net::HttpCall call);

/// The error that an answer carries.
boost::leaf::error_id FailFrom(const net::HttpAnswer& answer);

/// A value of a header field; empty when absent.
std::string HeaderOf(const net::HttpAnswer& answer, std::string_view name);

}  // namespace masticrill::cli

#endif  // MASTICRILL_CLI_OPERATOR_CLIENT_H_
