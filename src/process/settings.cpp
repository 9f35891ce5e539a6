// Parsing and validation of the settings of a node.
#include "settings_func.h"
#include "table/settings_table.h"

#include <QUrl>
#include <boost/asio/ip/address.hpp>
#include <boost/leaf/error.hpp>
#include <charconv>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace leaf = boost::leaf;

namespace shallotfield {

/** A text setting. All of them are required. */
struct text_setting_row
{
  std::string_view key;          ///< Key in the settings file.
  std::string settings::*member; ///< Member that holds the value.
};

static constexpr std::array<text_setting_row, 6> TEXT_SETTING_ROWS = { {
  { "node_id", &settings::node_id },
  { "region", &settings::region },
  { "zone", &settings::zone },
  { "host", &settings::host },
  { "log_url", &settings::log_url },
  { "operators_token", &settings::operators_token },
} };

/** Builds the error for a setting. */
static leaf::error_id
make_error(std::string_view key, setting_fault fault)
{
  return leaf::new_error(setting_error{ std::string(key), fault });
}

bool
is_ip_address(std::string_view text)
{
  boost::system::error_code error;
  boost::asio::ip::make_address(std::string(text), error);
  return !error && text.find('%') == std::string_view::npos;
}

std::optional<endpoint>
parse_endpoint(std::string_view text)
{
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  endpoint result{ std::string(text.substr(0, colon)), 0 };
  const std::string_view digits = text.substr(colon + 1);
  const auto [end, fault] =
    std::from_chars(digits.data(), digits.data() + digits.size(), result.port);
  const bool is_port = fault == std::errc{} && end == digits.data() + digits.size();
  if (!is_port || result.port == 0 || !is_ip_address(result.host)) {
    return std::nullopt;
  }
  return result;
}

/** Whether a key is the name of a setting. */
static bool
is_known_key(std::string_view key)
{
  const auto has_key_name = [key](const auto& row) { return row.key == key; };
  return key == "seeds" ||
         std::any_of(TEXT_SETTING_ROWS.begin(), TEXT_SETTING_ROWS.end(), has_key_name) ||
         std::any_of(NUMBER_SETTING_ROWS.begin(), NUMBER_SETTING_ROWS.end(), has_key_name);
}

/** Parses the text settings; none may be absent or empty. */
static leaf::result<void>
parse_texts(const nlohmann::json& file, settings& result)
{
  for (const text_setting_row& row : TEXT_SETTING_ROWS) {
    const auto value = file.find(row.key);
    if (value == file.end()) {
      return make_error(row.key, setting_fault::missing);
    }
    if (!value->is_string()) {
      return make_error(row.key, setting_fault::wrong_type);
    }
    result.*row.member = value->get<std::string>();
    if ((result.*row.member).empty()) {
      return make_error(row.key, setting_fault::bad_value);
    }
  }
  return {};
}

/** Parses the number settings; absent ones get their default. */
static leaf::result<void>
parse_numbers(const nlohmann::json& file, settings& result)
{
  for (const number_setting_row& row : NUMBER_SETTING_ROWS) {
    const auto value = file.find(row.key);
    if (value == file.end()) {
      result.*row.member = row.fallback;
      continue;
    }
    if (!value->is_number_integer()) {
      return make_error(row.key, setting_fault::wrong_type);
    }
    if (value->is_number_unsigned() && value->get<std::uint64_t>() > INT64_MAX) {
      return make_error(row.key, setting_fault::out_of_range);
    }
    result.*row.member = value->get<std::int64_t>();
    if (result.*row.member < row.minimum || result.*row.member > row.maximum) {
      return make_error(row.key, setting_fault::out_of_range);
    }
  }
  return {};
}

/** Parses the optional list of seeds. */
static leaf::result<void>
parse_seeds(const nlohmann::json& file, settings& result)
{
  const auto seeds = file.find("seeds");
  if (seeds == file.end()) {
    return {};
  }
  if (!seeds->is_array()) {
    return make_error("seeds", setting_fault::wrong_type);
  }
  for (const nlohmann::json& seed : *seeds) {
    if (!seed.is_string()) {
      return make_error("seeds", setting_fault::wrong_type);
    }
    const std::optional<endpoint> address = parse_endpoint(seed.get<std::string>());
    if (!address) {
      return make_error("seeds", setting_fault::bad_value);
    }
    result.seeds.push_back(*address);
  }
  return {};
}

leaf::result<settings>
parse_settings(std::string_view text)
{
  const nlohmann::json file = parse_bounded_json(text, SETTINGS_LIMITS);
  if (!file.is_object()) {
    return make_error("", setting_fault::not_json);
  }
  for (const auto& [key, value] : file.items()) {
    if (!is_known_key(key)) {
      return make_error(key, setting_fault::unknown_key);
    }
  }
  settings result{};
  BOOST_LEAF_CHECK(parse_texts(file, result));
  BOOST_LEAF_CHECK(parse_numbers(file, result));
  BOOST_LEAF_CHECK(parse_seeds(file, result));
  if (!is_ip_address(result.host)) {
    return make_error("host", setting_fault::bad_value);
  }
  const QUrl url(QString::fromStdString(result.log_url));
  if (!url.isValid() || url.scheme() != "http" || url.host().isEmpty()) {
    return make_error("log_url", setting_fault::bad_value);
  }
  return result;
}

leaf::result<settings>
read_settings(const std::string& path)
{
  std::ifstream file(path);
  if (!file) {
    return make_error(path, setting_fault::unreadable);
  }
  std::ostringstream text;
  text << file.rdbuf();
  return parse_settings(text.str());
}

} // namespace shallotfield
