// The profiles that new configurations are written from: files in the language, put into the program when it
// is built.
#pragma once
#include <map>
#include <string>

namespace dapplewharf::config {

const std::map<std::string, std::string>& profiles();  // names and texts

}  // namespace dapplewharf::config
