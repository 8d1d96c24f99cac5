#include "file_arguments.h"

#include <boost/program_options.hpp>
#include <iostream>

namespace baobab::tools {

auto ReadFileArguments(int argc, char** argv, const std::string& usage)
    -> std::vector<std::string> {
  namespace options = boost::program_options;
  std::vector<std::string> files;
  options::options_description described(usage);
  described.add_options()("help", "print this text")(
      "file", options::value(&files)->required(), "file in JSON Lines");
  options::positional_options_description positional;
  positional.add("file", -1);
  options::variables_map values;
  options::store(options::command_line_parser(argc, argv)
                     .options(described)
                     .positional(positional)
                     .run(),
                 values);
  if (values.contains("help")) {
    std::cout << described;
    return {};
  }
  options::notify(values);
  return files;
}

}  // namespace baobab::tools
