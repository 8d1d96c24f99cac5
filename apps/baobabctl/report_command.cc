#include <boost/program_options.hpp>
#include <chrono>
#include <fstream>
#include <iostream>

#include "admin_client.h"
#include "baobab_burn/burn_report.h"
#include "burn_merge.h"
#include "command_line.h"
#include "exit_code.h"
#include "fleet_commands.h"

namespace baobab::ctl {
namespace {

namespace po = boost::program_options;

constexpr unsigned kOk = 200;

auto Render(const burn::BurnReport& report, const std::string& format)
    -> std::string {
  if (format == "svg") {
    return report.ToSvg();
  }
  return format == "json" ? report.ToJson() + "\n" : report.ToText();
}

}  // namespace

auto RunReportBurn(const std::vector<std::string>& arguments) -> int {
  CommandLine line("report burn", {},
                   "Prints the burn rates of all objectives, merged over the "
                   "daemons, for windows of\n5 min, 30 min, 1 h, 6 h and 3 d, "
                   "with alerts. Exit code 6 if a daemon is missing.");
  line.AddDaemons().options().add_options()("format", po::value<std::string>(),
                                            "text (default), json or svg")(
      "out", po::value<std::string>(), "file to write instead of printing");
  if (const auto code = line.Parse(arguments)) {
    return *code;
  }
  const auto format = line.Has("format") ? line.Text("format")
                      : line.json()      ? "json"
                                         : "text";
  if (format != "text" && format != "json" && format != "svg") {
    std::cerr << "baobabctl report burn: unknown format " << format << '\n';
    return kUsageError;
  }
  burn::BurnTracker tracker;
  int code = kSuccess;
  for (const auto& answer :
       CallDaemons(FindDaemons(line), {"GET", "/admin/burn", {}})) {
    if (answer.status_ != kOk || !MergeBurnCounts(answer.body_, tracker)) {
      std::cerr << "baobabctl report burn: no counts from " << answer.address_
                << ' ' << answer.failure_ << '\n';
      code = kUnreachable;
    }
  }
  const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  const auto text = Render(burn::BurnReport(tracker, now), format);
  if (line.Has("out")) {
    std::ofstream(line.Text("out")) << text;
  } else {
    std::cout << text;
  }
  return code;
}

}  // namespace baobab::ctl
