#include "settings/positions.hpp"

#include <cstddef>
#include <iterator>
#include <nlohmann/json.hpp>
#include <vector>

namespace dispatcher::settings {
namespace {

using Json = nlohmann::json;

// Settings are not nested deeper; of what is, the line of the object or array at this depth will do.
constexpr std::size_t kDeepest = 12;

// The line of the last character but blanks that was read. Of a number the lexer reads one character more,
// which is a blank where the line ends there.
struct Reading {
  int line = 1, last = 1;
  void pass(char c) {
    if (c == '\n') ++line;
    if (c != '\n' && c != '\r' && c != ' ' && c != '\t') last = line;
  }
};

class CountingIterator {
 public:
  using iterator_category = std::forward_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;
  CountingIterator() = default;
  CountingIterator(const char* at, Reading* reading) : at_(at), reading_(reading) {}
  reference operator*() const { return *at_; }
  CountingIterator& operator++() {
    reading_->pass(*at_++);
    return *this;
  }
  CountingIterator operator++(int) {
    const CountingIterator before = *this;
    ++*this;
    return before;
  }
  bool operator==(const CountingIterator& other) const { return at_ == other.at_; }

 private:
  const char* at_ = nullptr;
  Reading* reading_ = nullptr;
};

class Locator : public nlohmann::json_sax<Json> {
 public:
  Locator(const Reading& reading, std::map<std::string, int>& lines) : reading_(reading), lines_(lines) {}

  bool null() override { return value(); }
  bool boolean(bool) override { return value(); }
  bool number_integer(number_integer_t) override { return value(); }
  bool number_unsigned(number_unsigned_t) override { return value(); }
  bool number_float(number_float_t, const string_t&) override { return value(); }
  bool string(string_t&) override { return value(); }
  bool binary(binary_t&) override { return value(); }
  bool start_object(std::size_t) override { return open(false); }
  bool start_array(std::size_t) override { return open(true); }
  bool key(string_t& name) override {
    const std::string& outer = levels_.back().path;
    key_ = outer.empty() ? name : outer + "." + name;
    return place(key_);
  }
  bool end_object() override { return close(); }
  bool end_array() override { return close(); }
  bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  struct Level {
    std::string path;
    bool array = false;
    std::size_t next = 0;  // index of an array's next value
  };

  bool place(const std::string& path) {
    if (levels_.size() <= kDeepest) lines_[path] = reading_.last;
    return true;
  }
  // The path of the value that has just begun or been read.
  std::string enter() {
    if (levels_.empty()) return {};
    Level& level = levels_.back();
    if (!level.array) return key_;
    std::string path =
        levels_.size() <= kDeepest ? level.path + "[" + std::to_string(level.next++) + "]" : "";
    place(path);
    return path;
  }
  bool value() {
    enter();
    return true;
  }
  bool open(bool array) {
    std::string path = enter();
    levels_.push_back({levels_.size() < kDeepest ? std::move(path) : std::string(), array});
    return true;
  }
  bool close() {
    levels_.pop_back();
    return true;
  }

  const Reading& reading_;
  std::map<std::string, int>& lines_;
  std::vector<Level> levels_;
  std::string key_;
};

}  // namespace

Positions::Positions(std::string_view json) {
  Reading reading;
  Locator locator(reading, lines_);
  const CountingIterator begin(json.data(), &reading), end(json.data() + json.size(), &reading);
  Json::sax_parse(begin, end, &locator);
}

int Positions::line_of(std::string path) const {
  while (!path.empty()) {
    if (const auto it = lines_.find(path); it != lines_.end()) return it->second;
    const std::size_t cut = path.find_last_of(".[");
    path.erase(cut == std::string::npos ? 0 : cut);
  }
  return 1;
}

}  // namespace dispatcher::settings
