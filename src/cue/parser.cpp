// Parses a file declaration by declaration, so that parsing can continue after a syntax error.
#include <algorithm>
#include <cctype>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <tao/pegtl.hpp>
#include <utility>

#include "cue/grammar.hpp"
#include "cue/syntax.hpp"
#include "cue/syntax_error.hpp"
#include "cue/tree_builder.hpp"
#include "cue/utf8.hpp"

namespace dispatcher::cue {

namespace {

namespace pegtl = tao::pegtl;

using Input = pegtl::memory_input<pegtl::tracking_mode::lazy, pegtl::eol::lf_crlf, const char*>;

constexpr std::size_t kMaxQuotedBytes = 24;  // maximum length of the text that an error quotes

// Parses one text and collects the problems.
class Parser {
 public:
  // Parses `text`, which must outlive the parser. Positions are reported as in `original`, which has the same
  // length.
  Parser(std::string_view original, std::string_view text)
      : begin_(text.data()), end_(text.data() + text.size()), builder_(original, text) {
    file_.kind = ExpressionKind::kStruct;
    file_.position = {1, 1};
  }

  Expression parse_file() {
    const char* next = skip_white_space(begin_);
    if (next != end_ && *next == '{') {
      parse_braced_file(next);
    } else {
      while (next != end_) next = parse_declaration(next);
    }
    return std::move(file_);
  }

  [[nodiscard]] std::vector<Problem> take_problems() { return std::move(problems_); }

 private:
  [[nodiscard]] const char* skip_white_space(const char* begin) const {
    Input input(begin, end_, "");
    pegtl::parse<grammar::WhiteSpace>(input);
    return input.current();
  }

  // Parses the text that `Rule` matches at `next` and advances `next` past it. Throws SyntaxError.
  template <typename Rule>
  std::unique_ptr<ParseNode> parse_tree(const char*& next) const {
    Input input(next, end_, "");
    try {
      auto tree =
          pegtl::parse_tree::parse<Rule, ParseNode, grammar::Selector, grammar::Action, grammar::Control>(
              input);
      next = input.current();
      return tree;
    } catch (const pegtl::parse_error& error) {
      throw SyntaxError{next + error.positions().front().byte, std::string(error.message())};
    }
  }

  void parse_braced_file(const char* next) {
    try {
      const auto tree = parse_tree<grammar::BracedFile>(next);
      file_ = builder_.build(*tree->children.front());
    } catch (const SyntaxError& error) {
      report(error);
    }
  }

  // Parses the declaration at `begin` and returns where the next one begins.
  const char* parse_declaration(const char* begin) {
    const char* next = begin;
    try {
      const auto tree = parse_tree<grammar::TopLevelDeclaration>(next);
      builder_.add_declaration(file_, *tree->children.front());
    } catch (const SyntaxError& error) {
      report(error);
      next = find_next_field(begin);
    }
    return skip_white_space(next);
  }

  // Returns where parsing continues after an error: the next line that has a label in its first column.
  [[nodiscard]] const char* find_next_field(const char* begin) const {
    const char* line_end = std::find(begin, end_, '\n');
    while (line_end != end_) {
      const char* const line = line_end + 1;
      if (line != end_ && begins_label(*line)) return line;
      line_end = std::find(line, end_, '\n');
    }
    return end_;
  }

  static bool begins_label(char character) {
    return std::isalpha(static_cast<unsigned char>(character)) != 0 || character == '#' || character == '_' ||
           character == '"';
  }

  void report(const SyntaxError& error) {
    const bool is_in_text = error.at >= begin_ && error.at <= end_;
    const Position position = builder_.position(is_in_text ? error.at : begin_);
    problems_.push_back({position, {}, error.what + describe_found(error.at)});
  }

  [[nodiscard]] std::string describe_found(const char* at) const {
    if (at >= end_) return ", found the file's end";
    if (at < begin_) return {};
    const std::string_view following(at, static_cast<std::size_t>(end_ - at));
    const std::size_t word_end = following.find_first_of(" \t\r\n");
    const std::string_view word = following.substr(0, std::min(word_end, kMaxQuotedBytes));
    if (word.empty()) return ", found the line's end";
    return ", found '" + clip_utf8(word, kMaxQuotedBytes) + "'";
  }

  const char* begin_;
  const char* end_;
  TreeBuilder builder_;
  Expression file_;
  std::vector<Problem> problems_;
};

void check_encoding(const File& file) {
  const std::size_t offset = invalid_utf8(file.text);
  if (offset == std::string::npos) return;
  throw Errors(file.name, {{LineIndex(file.text).position(offset), {}, "invalid UTF-8"}});
}

bool is_json_object(const std::string& text) {
  const std::size_t first = text.find_first_not_of(" \t\r\n");
  return first != std::string::npos && text[first] == '{' && nlohmann::json::accept(text);
}

}  // namespace

Expression parse(const File& file) {
  if (file.text.size() > kMaxBytes)
    throw Errors(file.name, {{{}, {}, "larger than " + std::to_string(kMaxBytes) + " bytes"}});
  check_encoding(file);
  // In JSON, a line end is plain white space, even before a comma. In CUE, it is a separator.
  std::string text = file.text;
  if (is_json_object(text)) std::replace(text.begin(), text.end(), '\n', '\r');
  Parser parser(file.text, text);
  Expression expression = parser.parse_file();
  auto problems = parser.take_problems();
  if (!problems.empty()) throw Errors(file.name, std::move(problems));
  return expression;
}

}  // namespace dispatcher::cue
