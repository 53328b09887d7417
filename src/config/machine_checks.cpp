// Checks all configurations of one machine together; see config/machine_checks.h.
#include "config/machine_checks.h"

#include <cmath>
#include <map>
#include <string>

namespace dapplewharf::config {
namespace {

std::string port_of(const std::string& address) {
  return address.substr(address.rfind(':'));
}

bool is_any_address(const std::string& address) {
  return address.starts_with("0.0.0.0:");
}

/// Whether two sockets cannot listen at both addresses.
bool overlap(const std::string& left, const std::string& right) {
  return port_of(left) == port_of(right) && (left == right || is_any_address(left) || is_any_address(right));
}

/// Names and listening addresses; both belong to the first document that claims them.
class ClaimChecker {
 public:
  ClaimChecker(const std::vector<Document>& documents, std::vector<MachineDiagnostic>& out)
      : documents_(documents), out_(out) {}

  void check_name(std::size_t document, const Block& sidecar) {
    if (const auto [first, added] = names_.try_emplace(sidecar.label, document); !added) {
      out_.push_back({document,
                      {sidecar.place, "the name '" + sidecar.label + "' is " + place_of(first->second, "") +
                                          "'s already; expected one for each sidecar"}});
    }
  }

  void check_listen(std::size_t document, const Setting& listen) {
    const std::string& address = listen.value.raw;
    for (const auto& [claimed, owner] : listens_) {
      if (overlap(claimed, address)) {
        out_.push_back(
            {document,
             {listen.value.place, "the address " + address + " is claimed at " + place_of(owner, "listen") +
                                      " already; expected a port of its own"}});
        break;
      }
    }
    listens_.try_emplace(address, document);
  }

 private:
  /// "FILE:LINE" of a sidecar's setting, or of its block if it has no such setting.
  [[nodiscard]] std::string place_of(std::size_t document, const char* name) const {
    const Block& sidecar = *documents_[document].find("sidecar");
    const Setting* found = sidecar.find(name);
    return documents_[document].files.front() + ":" +
           std::to_string(found ? found->place.line : sidecar.place.line);
  }

  const std::vector<Document>& documents_;
  std::vector<MachineDiagnostic>& out_;
  std::map<std::string, std::size_t> names_;
  std::map<std::string, std::size_t> listens_;
};

/// What a document's limits grant; the schema's defaults where it has none.
double limit_of(const Document& document, const char* name) {
  if (const Block* limits = document.find("limits")) {
    return limits->amount(name);
  }
  Block defaults;
  defaults.row = block_of("limits");
  return defaults.amount(name);
}

}  // namespace

std::vector<MachineDiagnostic> check_machine(const std::vector<Document>& documents,
                                             double machine_descriptors, double machine_memory) {
  std::vector<MachineDiagnostic> out;
  ClaimChecker claims(documents, out);
  double descriptors = 0;
  double memory = 0;
  for (std::size_t i = 0; i < documents.size(); ++i) {
    const Block* sidecar = documents[i].find("sidecar");
    if (!sidecar) {
      continue;
    }
    claims.check_name(i, *sidecar);
    if (const Setting* listen = sidecar->find("listen")) {
      claims.check_listen(i, *listen);
    }
    descriptors += limit_of(documents[i], "descriptors");
    memory += limit_of(documents[i], "memory");
  }
  if (machine_descriptors > 0 && descriptors > machine_descriptors) {
    out.push_back({0,
                   {{0, 1, 1},
                    "all sidecars together may hold " + number_text(descriptors) +
                        " descriptors, the machine " + number_text(machine_descriptors) + "; expected less",
                    true}});
  }
  if (machine_memory > 0 && memory > machine_memory) {
    out.push_back({0,
                   {{0, 1, 1},
                    "all sidecars together may use " + size_text(memory) + ", the machine has " +
                        number_text(std::floor(machine_memory / kBytesPerMebibyte)) + "MiB; expected less",
                    true}});
  }
  return out;
}

}  // namespace dapplewharf::config
