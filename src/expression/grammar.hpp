// The grammar of expressions, in PEGTL (https://github.com/taocpp/PEGTL): a subset of CEL's
// (https://github.com/google/cel-spec, "Syntax"). Used by the parser alone.
#ifndef DISPATCHER_EXPRESSION_GRAMMAR_HPP_
#define DISPATCHER_EXPRESSION_GRAMMAR_HPP_

#include <tao/pegtl.hpp>
#include <tao/pegtl/contrib/limit_depth.hpp>
#include <tao/pegtl/contrib/parse_tree.hpp>

#include "expression/parser.hpp"

namespace dispatcher::expression::grammar {

// Unqualified names of PEGTL's rules keep the grammar readable; the namespace contains nothing else.
using namespace tao::pegtl;

struct Comment : seq<string<'/', '/'>, star<not_at<eolf>, any>> {};
struct Space : star<sor<one<' ', '\t', '\r', '\n', '\f'>, Comment>> {};
struct WordEnd : not_at<identifier_other> {};
template <char... Letters>
struct Word : seq<string<Letters...>, WordEnd> {};

// Names and literals.
struct Boolean : sor<Word<'t', 'r', 'u', 'e'>, Word<'f', 'a', 'l', 's', 'e'>> {};
struct Null : Word<'n', 'u', 'l', 'l'> {};
struct ReservedWord : sor<Boolean, Null, Word<'i', 'n'>> {};
struct Name : seq<not_at<ReservedWord>, identifier> {};
struct MemberName : identifier {};

struct Exponent : seq<one<'e', 'E'>, opt<one<'+', '-'>>, plus<digit>> {};
struct NumberEnd : not_at<sor<identifier_other, seq<one<'.'>, digit>>> {};
struct Fraction : seq<star<digit>, one<'.'>, plus<digit>, opt<Exponent>> {};
struct Double : seq<sor<Fraction, seq<plus<digit>, Exponent>>, NumberEnd> {};
struct Integer : seq<sor<seq<string<'0', 'x'>, plus<xdigit>>, plus<digit>>, NumberEnd> {};

template <char Quote>
struct ClosingQuote : one<Quote> {};
template <char Quote>
struct QuotedCharacter : sor<seq<one<'\\'>, not_one<'\n'>>, not_one<Quote, '\\', '\n'>> {};
template <char Quote>
struct Quoted : if_must<one<Quote>, star<QuotedCharacter<Quote>>, ClosingQuote<Quote>> {};
template <char Quote>
struct LongQuoted : if_must<string<Quote, Quote, Quote>,
                            until<string<Quote, Quote, Quote>, sor<seq<one<'\\'>, any>, any>>> {};
template <char Quote>
struct RawQuoted : seq<one<'r', 'R'>, if_must<one<Quote>, star<not_one<Quote, '\n'>>, ClosingQuote<Quote>>> {
};
struct RawString : sor<RawQuoted<'"'>, RawQuoted<'\''>> {};
struct LongString : sor<LongQuoted<'"'>, LongQuoted<'\''>> {};
struct PlainString : sor<Quoted<'"'>, Quoted<'\''>> {};

struct Conditional;
struct Operand : seq<Conditional> {};
struct Comma : seq<one<','>, Space> {};
struct Colon : one<':'> {};
struct ClosingParenthesis : one<')'> {};
struct ClosingBracket : one<']'> {};
struct ClosingBrace : one<'}'> {};

// Lists, maps, calls and the other rules that an operand begins with.
struct Arguments
    : if_must<one<'('>, Space, opt<Operand, Space, star<Comma, Operand, Space>>, ClosingParenthesis> {};
// [a, b]; a trailing comma is allowed.
struct List
    : if_must<one<'['>, Space, opt<Operand, Space, star<Comma, Operand, Space>, opt<Comma>>, ClosingBracket> {
};
struct Entry : if_must<Operand, Space, Colon, Space, Operand> {};
// {key: value}; a trailing comma is allowed.
struct Map
    : if_must<one<'{'>, Space, opt<Entry, Space, star<Comma, Entry, Space>, opt<Comma>>, ClosingBrace> {};
struct Parenthesized : if_must<one<'('>, Space, Operand, Space, ClosingParenthesis> {};
struct Call : seq<Name, Space, Arguments> {};
// An operand without operators.
struct Primary : sor<Boolean, Null, RawString, LongString, PlainString, Double, Integer, Call, Name,
                     Parenthesized, List, Map> {};
struct Select : if_must<seq<one<'.'>, not_at<digit>>, Space, MemberName, opt<Space, Arguments>> {};
struct Index : if_must<one<'['>, Space, Operand, Space, ClosingBracket> {};
struct Member : seq<Primary, star<Space, sor<Select, Index>>> {};

// Operators, from the tightest binding to the loosest.
struct Unary;
struct Negation : seq<sor<one<'!'>, one<'-'>>, Space, must<Unary>> {};
struct Unary : sor<Negation, Member> {};
struct ProductOperator : one<'*', '/', '%'> {};
struct Product : seq<Unary, star<Space, if_must<ProductOperator, Space, Unary>>> {};
struct SumOperator : one<'+', '-'> {};
struct Sum : seq<Product, star<Space, if_must<SumOperator, Space, Product>>> {};
// The longer operators come first, because a parsing expression grammar takes the first alternative that
// matches.
struct RelationOperator : sor<string<'<', '='>, string<'>', '='>, string<'=', '='>, string<'!', '='>,
                              one<'<', '>'>, Word<'i', 'n'>> {};
struct Relation : seq<Sum, star<Space, if_must<RelationOperator, Space, Sum>>> {};
struct Conjunction : seq<Relation, star<Space, if_must<string<'&', '&'>, Space, Relation>>> {};
struct Disjunction : seq<Conjunction, star<Space, if_must<string<'|', '|'>, Space, Conjunction>>> {};
struct Branches : if_must<one<'?'>, Space, Disjunction, Space, Colon, Space, Operand> {};
struct Conditional : seq<Disjunction, opt<Space, Branches>> {};
struct Expression : must<Space, Operand, Space, eof> {};

// The error message if a rule must match and does not.
template <typename Rule>
inline constexpr const char* kExpected = "an operand expected";
template <>
inline constexpr const char* kExpected<eof> = "an operator or the end expected";
template <>
inline constexpr const char* kExpected<ClosingParenthesis> = "')' expected";
template <>
inline constexpr const char* kExpected<ClosingBracket> = "']' expected";
template <>
inline constexpr const char* kExpected<ClosingBrace> = "'}' expected";
template <>
inline constexpr const char* kExpected<Colon> = "':' expected";
template <>
inline constexpr const char* kExpected<MemberName> = "a field's name expected";
template <char Quote>
inline constexpr const char* kExpected<ClosingQuote<Quote>> = "unterminated string";

// PEGTL's control class: throws tao::pegtl::parse_error with the message of a rule that must match and does
// not.
struct ErrorMessages {
  // NOLINTBEGIN(readability-identifier-naming): PEGTL's must_if looks these names up
  template <typename Rule>
  static constexpr const char* message = kExpected<Rule>;
  // The failure of a rule that need not match is not an error.
  template <typename Rule>
  static constexpr bool raise_on_failure = false;
  // NOLINTEND(readability-identifier-naming)
};
template <typename Rule>
struct Control : must_if<ErrorMessages>::control<Rule> {};

// PEGTL's action class: limits how deeply recursive rules nest, so that no expression exhausts the stack.
template <typename Rule>
struct Action : nothing<Rule> {};
template <>
struct Action<Conditional> : limit_depth<kMaxDepth> {};
template <>
struct Action<Unary> : limit_depth<2 * kMaxDepth> {};

// The rules that become nodes of the parse tree.
template <typename Rule>
using Selector = parse_tree::selector<
    Rule, parse_tree::store_content::on<Boolean, Null, Name, MemberName, Double, Integer, RawString,
                                        LongString, PlainString, Arguments, List, Entry, Map, Call, Select,
                                        Index, Member, Negation, ProductOperator, Product, SumOperator, Sum,
                                        RelationOperator, Relation, Conjunction, Disjunction, Conditional>>;

}  // namespace dispatcher::expression::grammar

#endif  // DISPATCHER_EXPRESSION_GRAMMAR_HPP_
