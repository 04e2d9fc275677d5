// The grammar of the configuration files as PEGTL rules, the error message of each rule that must match, the
// nesting limits, and the selection of the rules that become nodes of the parse tree.
#ifndef DISPATCHER_CUE_GRAMMAR_HPP_
#define DISPATCHER_CUE_GRAMMAR_HPP_

#include <tao/pegtl.hpp>
#include <tao/pegtl/contrib/limit_depth.hpp>
#include <tao/pegtl/contrib/parse_tree.hpp>

#include "cue/syntax.hpp"

/// Rules are named in CamelCase; lower-case names are PEGTL's own.
namespace dispatcher::cue::grammar {

using namespace tao::pegtl;

// White space. As in CUE, the end of a line is a separator like a comma. WhiteSpace may contain line ends,
// InlineSpace may not.
struct Comment : seq<string<'/', '/'>, star<not_at<eolf>, any>> {};
struct InlineSpace : star<one<' ', '\t', '\r'>> {};
struct WhiteSpace : star<sor<one<' ', '\t', '\r', '\n'>, Comment>> {};
struct Separator : seq<InlineSpace, sor<one<','>, seq<opt<Comment>, one<'\n'>>>, WhiteSpace> {};

// Keywords and names.
struct WordEnd : not_at<sor<alnum, one<'_', '$'>>> {};
template <char... Characters>
struct Keyword : seq<string<Characters...>, WordEnd> {};
struct NullLiteral : Keyword<'n', 'u', 'l', 'l'> {};
struct BooleanLiteral : sor<Keyword<'t', 'r', 'u', 'e'>, Keyword<'f', 'a', 'l', 's', 'e'>> {};
/// The names of the predeclared types.
struct TypeName : sor<Keyword<'b', 'o', 'o', 'l'>, Keyword<'i', 'n', 't'>, Keyword<'f', 'l', 'o', 'a', 't'>,
                      Keyword<'n', 'u', 'm', 'b', 'e', 'r'>, Keyword<'s', 't', 'r', 'i', 'n', 'g'>> {};
struct Bottom : string<'_', '|', '_'> {};
struct Top : seq<one<'_'>, not_at<sor<alnum, one<'_', '$', '#'>>>> {};
struct Reference : seq<one<'#', '_'>, sor<alpha, one<'_', '$'>>, star<sor<alnum, one<'_', '$'>>>> {};
struct Identifier : seq<sor<alpha, one<'$'>>, star<sor<alnum, one<'_', '$'>>>> {};

// Numbers.
struct Digits : seq<digit, star<opt<one<'_'>>, digit>> {};
struct Fraction : seq<one<'.'>, Digits> {};
struct Exponent : seq<one<'e', 'E'>, opt<one<'+', '-'>>, Digits> {};
struct NumberEnd : not_at<sor<alnum, one<'_', '.', '$'>>> {};
/// A number with a fraction, an exponent or both.
struct FloatLiteral
    : seq<sor<seq<Digits, sor<seq<Fraction, opt<Exponent>>, Exponent>>, seq<Fraction, opt<Exponent>>>,
          NumberEnd> {};
struct Hexadecimal : seq<string<'0', 'x'>, xdigit, star<opt<one<'_'>>, xdigit>> {};
struct Multiplier : seq<one<'K', 'M', 'G', 'T'>, opt<one<'i'>>> {};
struct IntegerLiteral : seq<sor<Hexadecimal, seq<Digits, opt<Multiplier>>>, NumberEnd> {};

// Strings.
struct Quote : one<'"'> {};
struct TripleQuote : string<'"', '"', '"'> {};
struct RawTripleQuoteEnd : string<'"', '"', '"', '#'> {};
struct EscapedCharacter : seq<one<'\\'>, any> {};
/// A string on one line, with escape sequences.
struct PlainString
    : if_must<Quote, star<sor<seq<one<'\\'>, not_one<'\n'>>, not_one<'"', '\\', '\n'>>>, Quote> {};
struct RawString : seq<string<'#', '"'>, not_at<string<'"', '"'>>, until<string<'"', '#'>, not_one<'\n'>>> {};
struct MultilineStringTail : until<TripleQuote, sor<EscapedCharacter, any>> {};
struct MultilineString : if_must<TripleQuote, MultilineStringTail> {};
struct RawMultilineStringTail : until<RawTripleQuoteEnd> {};
struct RawMultilineString : if_must<string<'#', '"', '"', '"'>, RawMultilineStringTail> {};
struct StringLiteral : sor<MultilineString, PlainString, RawMultilineString, RawString> {};

// Fields.
struct Expression;
struct FieldValue;
struct Value : seq<Expression> {};
struct OptionalMark : one<'?'> {};
struct Ellipsis : string<'.', '.', '.'> {};
struct Colon : one<':'> {};
struct PatternClose : one<']'> {};
struct Pattern : if_must<one<'['>, WhiteSpace, Value, InlineSpace, PatternClose> {};
struct Name : sor<Identifier, Reference> {};
struct Label : sor<Name, StringLiteral> {};
/// A field with a label, which may be optional.
struct NamedField
    : seq<Label, InlineSpace, opt<OptionalMark, InlineSpace>, if_must<Colon, WhiteSpace, FieldValue>> {};
struct PatternField : if_must<Pattern, InlineSpace, Colon, WhiteSpace, FieldValue> {};
struct Field : sor<PatternField, NamedField> {};
struct NestedFieldAhead : at<Label, InlineSpace, opt<OptionalMark, InlineSpace>, Colon> {};  // a: b: 1
struct FieldValue : sor<seq<NestedFieldAhead, Field>, Value> {};
struct Declaration : sor<Ellipsis, Field> {};
struct Declarations : opt<Declaration, star<Separator, Declaration>, opt<Separator>> {};

// Structs, lists and parentheses.
struct CloseBrace : one<'}'> {};
struct CloseBracket : one<']'> {};
struct CloseParenthesis : one<')'> {};
struct Struct : if_must<one<'{'>, WhiteSpace, Declarations, WhiteSpace, CloseBrace> {};
struct FurtherElements : seq<Ellipsis, opt<InlineSpace, Expression>> {};
struct Element : sor<FurtherElements, Expression> {};
struct Elements : opt<Element, star<Separator, Element>, opt<Separator>> {};
struct List : if_must<one<'['>, WhiteSpace, Elements, WhiteSpace, CloseBracket> {};
struct Parenthesized : if_must<one<'('>, WhiteSpace, Value, InlineSpace, CloseParenthesis> {};

// Expressions, starting with the operators of highest precedence.
struct Primary : sor<Struct, List, Parenthesized, Bottom, NullLiteral, BooleanLiteral, TypeName,
                     StringLiteral, FloatLiteral, IntegerLiteral, Top, Reference> {};
/// The operators of bounds, and signs. An operator comes before any operator that is its prefix.
struct UnaryOperator : sor<string<'>', '='>, string<'<', '='>, string<'!', '='>, string<'=', '~'>,
                           string<'!', '~'>, one<'>'>, one<'<'>, one<'-'>, one<'+'>> {};
struct Unary;
struct UnaryOperation : if_must<UnaryOperator, WhiteSpace, Unary> {};
struct Unary : sor<UnaryOperation, Primary> {};
struct Conjunction : seq<Unary, star<InlineSpace, if_must<one<'&'>, WhiteSpace, Unary>>> {};
struct DefaultDisjunct : if_must<one<'*'>, WhiteSpace, Unary> {};
struct Disjunct : sor<DefaultDisjunct, Conjunction> {};
struct Disjunction : seq<Disjunct, star<InlineSpace, if_must<one<'|'>, WhiteSpace, Disjunct>>> {};
// Most values are a single string or integer. Trying these first halves the time to parse a file.
struct LoneLiteral : seq<sor<StringLiteral, IntegerLiteral>, InlineSpace, at<one<',', '\n', '}', ']'>>> {};
struct Expression : sor<LoneLiteral, Disjunction> {};

// The start rules of the parser: a file in braces, or one declaration of any other file.
struct BracedFile : must<Struct, WhiteSpace, eof> {};
struct EndOfDeclaration : sor<Separator, seq<WhiteSpace, eof>> {};
struct TopLevelDeclaration : if_must<success, Declaration, EndOfDeclaration> {};

// The error message for a rule that must match and does not. Each rule that can fail this way has its own
// message below. The general message ensures that no error ever names a rule of this grammar.
template <typename Rule>
inline constexpr const char* kMessage = "syntax error";
template <>
inline constexpr const char* kMessage<Value> = "a value expected";
template <>
inline constexpr const char* kMessage<FieldValue> = "a value expected";
template <>
inline constexpr const char* kMessage<Unary> = "a value expected";
template <>
inline constexpr const char* kMessage<Disjunct> = "a value expected";
template <>
inline constexpr const char* kMessage<Declaration> = "a field expected: label, ':' and value";
template <>
inline constexpr const char* kMessage<CloseBrace> = "a field or '}' expected";
template <>
inline constexpr const char* kMessage<CloseBracket> = "a value or ']' expected";
template <>
inline constexpr const char* kMessage<PatternClose> = "']' expected";
template <>
inline constexpr const char* kMessage<CloseParenthesis> = "')' expected";
template <>
inline constexpr const char* kMessage<Colon> = "':' expected";
template <>
inline constexpr const char* kMessage<Quote> = "the text is not closed on its line";
template <>
inline constexpr const char* kMessage<MultilineStringTail> = "the text is not closed";
template <>
inline constexpr const char* kMessage<RawMultilineStringTail> = "the text is not closed";
template <>
inline constexpr const char* kMessage<EndOfDeclaration> = "a comma or the line's end expected";
template <>
inline constexpr const char* kMessage<eof> = "expected end of file";

/// The messages for PEGTL's control class, which throws them as tao::pegtl::parse_error.
struct ErrorMessages {
  // NOLINTBEGIN(readability-identifier-naming): PEGTL's must_if looks these names up
  template <typename Rule>
  static constexpr const char* message = kMessage<Rule>;
  // The failure of a rule that need not match is not an error.
  template <typename Rule>
  static constexpr bool raise_on_failure = false;
  // NOLINTEND(readability-identifier-naming)
};
template <typename Rule>
struct Control : must_if<ErrorMessages>::control<Rule> {};

/// PEGTL's action class. Limits the nesting depth of recursive rules, so that no file exhausts the stack.
template <typename Rule>
struct Action : nothing<Rule> {};
template <>
struct Action<Expression> : limit_depth<kMaxNesting> {};
template <>
struct Action<Value> : limit_depth<kMaxNesting> {};
template <>
struct Action<Unary> : limit_depth<2 * kMaxNesting> {};
template <>
struct Action<Field> : limit_depth<kMaxNesting> {};

/// The rules that become nodes of the parse tree.
template <typename Rule>
using Selector = parse_tree::selector<
    Rule, parse_tree::store_content::on<
              NullLiteral, BooleanLiteral, TypeName, Bottom, Top, Reference, Identifier, FloatLiteral,
              IntegerLiteral, PlainString, RawString, MultilineString, RawMultilineString, OptionalMark,
              Ellipsis, Pattern, NamedField, PatternField, Struct, FurtherElements, List, UnaryOperator,
              UnaryOperation, Conjunction, DefaultDisjunct, Disjunction>>;

}  // namespace dispatcher::cue::grammar

#endif  // DISPATCHER_CUE_GRAMMAR_HPP_
