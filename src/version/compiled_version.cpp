// Construction of compiled configuration versions.
#include "compiled_version_base.h"

#include <algorithm>
#include <tuple>

namespace shallotfield {

compiled_version_ptr
compile_version(std::uint64_t number, std::string digest, nlohmann::json source, document content)
{
  auto version = std::make_shared<compiled_version>();
  version->number = number;
  version->digest = std::move(digest);
  version->source = std::move(source);
  version->content = std::move(content);
  for (const auto& [name, spec] : version->content.routes) {
    version->routes.push_back({ name, spec });
  }
  // The document orders its routes by name, and a stable sort keeps this order among equal ranks.
  std::stable_sort(
    version->routes.begin(), version->routes.end(), [](const auto& a, const auto& b) {
      const auto rank = [](const compiled_route& route) {
        return std::tuple(-route.spec.priority,
                          -static_cast<std::int64_t>(route.spec.path_prefix.size()));
      };
      return rank(a) < rank(b);
    });
  return version;
}

} // namespace shallotfield
