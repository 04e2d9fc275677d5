#include "settings/json_line_index.hpp"

#include <cstddef>
#include <iterator>
#include <nlohmann/json.hpp>
#include <vector>

namespace dispatcher::settings {
namespace {

using Json = nlohmann::json;

// Maximum depth of nesting that is indexed, which is more than settings have. A field at a greater depth gets
// the line number of the object or array at this depth.
constexpr std::size_t kMaxDepth = 12;

// Counts the lines of the text while the parser reads it. `last_token` is the line number of the last
// character read that is not white space. It can differ from `current` because the lexer reads one character
// beyond a number, which is the line break if the number ends the line.
struct LineCounter {
  int current = 1;
  int last_token = 1;

  void count(char character) {
    if (character == '\n') ++current;
    if (character != '\n' && character != '\r' && character != ' ' && character != '\t') last_token = current;
  }
};

// Iterates over the text and counts each character that it passes. Copies share the counter.
class CountingIterator {
 public:
  using iterator_category = std::forward_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;
  CountingIterator() = default;
  CountingIterator(const char* at, LineCounter* counter) : at_(at), counter_(counter) {}
  reference operator*() const { return *at_; }
  CountingIterator& operator++() {
    counter_->count(*at_++);
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
  LineCounter* counter_ = nullptr;
};

// Receives the parser's events and records the line number of each path.
class PathRecorder : public nlohmann::json_sax<Json> {
 public:
  PathRecorder(const LineCounter& counter, std::map<std::string, int>& line_numbers)
      : counter_(counter), line_numbers_(line_numbers) {}

  bool null() override { return scalar(); }
  bool boolean(bool) override { return scalar(); }
  bool number_integer(number_integer_t) override { return scalar(); }
  bool number_unsigned(number_unsigned_t) override { return scalar(); }
  bool number_float(number_float_t, const string_t&) override { return scalar(); }
  bool string(string_t&) override { return scalar(); }
  bool binary(binary_t&) override { return scalar(); }
  bool start_object(std::size_t) override { return open(Container::kObject); }
  bool start_array(std::size_t) override { return open(Container::kArray); }
  bool key(string_t& name) override {
    const std::string& outer = levels_.back().path;
    key_path_ = outer.empty() ? name : outer + "." + name;
    record(key_path_);
    return true;
  }
  bool end_object() override { return close(); }
  bool end_array() override { return close(); }
  bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  enum class Container { kObject, kArray };
  struct Level {
    std::string path;
    Container container{};
    std::size_t next_index = 0;  // index of the next value, if this is an array
  };

  void record(const std::string& path) {
    if (levels_.size() <= kMaxDepth) line_numbers_[path] = counter_.last_token;
  }
  // Returns the path of the value that has just begun or has just been read. Also records the path if the
  // value is in an array, where there is no key.
  std::string begin_value() {
    if (levels_.empty()) return {};
    Level& level = levels_.back();
    if (level.container == Container::kObject) return key_path_;
    std::string path;
    if (levels_.size() <= kMaxDepth) path = level.path + "[" + std::to_string(level.next_index++) + "]";
    record(path);
    return path;
  }
  bool scalar() {
    begin_value();
    return true;
  }
  bool open(Container container) {
    std::string path = begin_value();
    if (levels_.size() >= kMaxDepth) path.clear();
    levels_.push_back({std::move(path), container});
    return true;
  }
  bool close() {
    levels_.pop_back();
    return true;
  }

  const LineCounter& counter_;
  std::map<std::string, int>& line_numbers_;
  std::vector<Level> levels_;
  std::string key_path_;
};

}  // namespace

JsonLineIndex::JsonLineIndex(std::string_view json) {
  LineCounter counter;
  PathRecorder recorder(counter, line_numbers_);
  const CountingIterator begin(json.data(), &counter);
  const CountingIterator end(json.data() + json.size(), &counter);
  Json::sax_parse(begin, end, &recorder);
}

int JsonLineIndex::line_number(std::string path) const {
  while (!path.empty()) {
    if (const auto it = line_numbers_.find(path); it != line_numbers_.end()) return it->second;
    const std::size_t parent_end = path.find_last_of(".[");
    path.erase(parent_end == std::string::npos ? 0 : parent_end);
  }
  return 1;
}

}  // namespace dispatcher::settings
