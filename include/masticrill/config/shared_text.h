#ifndef MASTICRILL_CONFIG_SHARED_TEXT_H_
#define MASTICRILL_CONFIG_SHARED_TEXT_H_

#include <memory>
#include <string>
#include <utility>

namespace masticrill::config {

/// An immutable text that many configurations share without copying it.
class SharedText {
 public:
  SharedText() = default;
  // Implicit, as a text can be used wherever a shared one is expected.
  SharedText(std::string text)  // NOLINT(google-explicit-constructor)
      : text(std::make_shared<const std::string>(std::move(text))) {}

  const std::string& Value() const {
    static const std::string kEmpty;
    return this->text == nullptr ? kEmpty : *this->text;
  }
  bool Empty() const { return this->Value().empty(); }

  friend bool operator==(const SharedText& left, const SharedText& right) {
    return left.text == right.text || left.Value() == right.Value();
  }

 private:
  std::shared_ptr<const std::string> text;
};

}  // namespace masticrill::config

#endif  // MASTICRILL_CONFIG_SHARED_TEXT_H_
