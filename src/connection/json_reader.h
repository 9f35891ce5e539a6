// Reads members of decoded message heads and checks their type and range.
#pragma once
#include "frame_codec.h"

#include <boost/leaf/error.hpp>
#include <boost/leaf/result.hpp>
#include <limits>
#include <type_traits>

namespace shallotfield {

/** Returns the error for a head that is not a valid message. */
inline boost::leaf::error_id
bad_message()
{
  return boost::leaf::new_error(frame_error{ frame_fault::bad_message });
}

/**
 * Reads a required member of type bool, std::string or an integer type. Fails with bad_message if
 * it is missing, of another type, or outside the range of T.
 */
template<typename T>
boost::leaf::result<T>
read_member(const nlohmann::json& object, const char* key)
{
  const auto value = object.find(key);
  if (value == object.end()) {
    return bad_message();
  }
  if constexpr (std::is_same_v<T, bool>) {
    if (!value->is_boolean()) {
      return bad_message();
    }
  } else if constexpr (std::is_same_v<T, std::string>) {
    if (!value->is_string()) {
      return bad_message();
    }
  } else if constexpr (std::is_unsigned_v<T>) {
    if (!value->is_number_unsigned() ||
        value->get<std::uint64_t>() > std::numeric_limits<T>::max()) {
      return bad_message();
    }
  } else {
    const bool exceeds_int64 =
      value->is_number_unsigned() && value->get<std::uint64_t>() > INT64_MAX;
    if (!value->is_number_integer() || exceeds_int64 ||
        value->get<std::int64_t>() > std::numeric_limits<T>::max() ||
        value->get<std::int64_t>() < std::numeric_limits<T>::min()) {
      return bad_message();
    }
  }
  return value->get<T>();
}

/**
 * Reads a required member that holds the name of an enumerator. Fails with bad_message if it is
 * missing or holds anything else.
 */
template<typename E>
boost::leaf::result<E>
read_enum(const nlohmann::json& object, const char* key)
{
  BOOST_LEAF_AUTO(name, read_member<std::string>(object, key));
  const std::optional<E> value = parse_enum<E>(name);
  if (!value) {
    return bad_message();
  }
  return *value;
}

/** Finds a required array. Fails with bad_message if the member is missing or not an array. */
inline boost::leaf::result<const nlohmann::json*>
read_array(const nlohmann::json& object, const char* key)
{
  const auto value = object.find(key);
  if (value == object.end() || !value->is_array()) {
    return bad_message();
  }
  return &*value;
}

} // namespace shallotfield
