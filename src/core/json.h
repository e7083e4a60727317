// JSON conversion of structs described with Boost.Describe and of strong types.
//
// A member missing from the text keeps its default value, and a member that the struct does not
// have is ignored, so that processes of different versions can read each other's messages.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <type_traits>

#include <boost/describe.hpp>
#include <boost/json.hpp>
#include <boost/mp11.hpp>

#include "cardamom/error.h"
#include "cardamom/strong.h"

namespace cardamom {

namespace detail {

template <typename T>
concept Described = std::is_class_v<T> && boost::describe::has_describe_members<T>::value;

template <typename T>
struct IsOptional : std::false_type {};
template <typename T>
struct IsOptional<std::optional<T>> : std::true_type {};

}  // namespace detail

BOOST_DESCRIBE_STRUCT(Position, (), (term, index))

template <typename Tag, typename Rep>
void tag_invoke(const boost::json::value_from_tag& /*tag*/,
                boost::json::value& json,
                const Strong<Tag, Rep>& strong) {
  json = boost::json::value_from(strong.value());
}

template <typename Tag, typename Rep>
Strong<Tag, Rep> tag_invoke(const boost::json::value_to_tag<Strong<Tag, Rep>>& /*tag*/,
                            const boost::json::value& json) {
  return Strong<Tag, Rep>(boost::json::value_to<Rep>(json));
}

template <detail::Described T>
void tag_invoke(const boost::json::value_from_tag& /*tag*/, boost::json::value& json, const T& in) {
  auto& object = json.emplace_object();
  boost::mp11::mp_for_each<boost::describe::describe_members<T, boost::describe::mod_any_access>>(
      [&](auto member) {
        const auto& field = in.*member.pointer;
        if constexpr (detail::IsOptional<std::decay_t<decltype(field)>>::value) {
          if (field.has_value()) {
            object[member.name] = boost::json::value_from(*field);
          }
        } else {
          object[member.name] = boost::json::value_from(field);
        }
      });
}

template <detail::Described T>
T tag_invoke(const boost::json::value_to_tag<T>& /*tag*/, const boost::json::value& json) {
  const auto& object = json.as_object();
  T out;
  boost::mp11::mp_for_each<boost::describe::describe_members<T, boost::describe::mod_any_access>>(
      [&](auto member) {
        auto& field = out.*member.pointer;
        if (const auto* value = object.if_contains(member.name)) {
          field = boost::json::value_to<std::decay_t<decltype(field)>>(*value);
        }
      });
  return out;
}

// Serializes `message` to JSON text. Thread safe.
template <typename T>
std::string EncodeJson(const T& message) {
  return boost::json::serialize(boost::json::value_from(message));
}

// Parses JSON `text` into a T. Errors: kBadJson, kBadField. Thread safe.
template <typename T>
Outcome<T> DecodeJson(std::string_view text) {
  boost::system::error_code ec;
  const auto json = boost::json::parse(text, ec);
  if (ec) {
    return Error{ResultCode::kBadJson, ec.message()};
  }
  try {
    return boost::json::value_to<T>(json);
  } catch (const std::exception& failure) {
    return Error{ResultCode::kBadField, failure.what()};
  }
}

}  // namespace cardamom
