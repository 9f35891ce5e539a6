// Functions that the operators' commands share.
#pragma once
#include "command.h"
#include "operator_client.h"
#include "platform/platform.h"
#include "version/version.h"

#include <boost/leaf/handle_errors.hpp>
#include <iostream>

namespace shallotfield {

/** A missing or invalid option of the command line. */
struct option_error
{
  std::string option; ///< Name of the option, without dashes.
};

/** Reads the file that an option names. Fails with option_error. */
boost::leaf::result<std::string>
read_file(const std::string& option, const std::string& path);

/** Runs the body of a command, prints its error on standard error and returns the exit code. */
template<typename F>
exit_code
run_and_report_errors(F&& body)
{
  return boost::leaf::try_handle_all(
    std::forward<F>(body),
    [](const option_error& error) {
      std::cerr << "error=usage option=" << error.option << '\n';
      return exit_code::usage;
    },
    [](const platform::configuration_error& error) {
      std::cerr << "error=invalid place=" << error.place << " field=" << error.field << '\n';
      return exit_code::invalid;
    },
    [](const document_error& error) {
      std::cerr << "error=invalid field=" << error.field << " fault=" << enum_name(error.fault)
                << '\n';
      return exit_code::invalid;
    },
    [](const call_error& error) {
      std::cerr << "error=" << enum_name(error.code) << " detail=\"" << error.detail << "\"\n";
      return error.code;
    },
    [] { return exit_code::internal; });
}

} // namespace shallotfield
