"""Parser of S-expressions, by a lark grammar; its nodes hold their line and column."""

from __future__ import annotations

from dataclasses import dataclass

from lark import Lark, Token, Tree
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedInput, UnexpectedToken

from heathwell.settings.errors import ReadError, SourceLocation

GRAMMAR = r"""
start: form*
form: "(" item* ")"
?item: form | STRING | WORD
STRING: /"(\\.|[^"\\\n])*"/
WORD: /[^\s()";]+/
COMMENT: /;[^\n]*/
%ignore COMMENT
%ignore /\s+/
"""
ESCAPES = {"n": "\n", "t": "\t", '"': '"', "\\": "\\"}
MAX_DEPTH = 20
START_OF_FILE = SourceLocation(1, 1)
END_TOKEN = "$END"  # the token type by which lark represents the end of the text
UNCLOSED_BRACKET = "this bracket is never closed"

_parser = Lark(GRAMMAR, parser="lalr", propagate_positions=True)


@dataclass(frozen=True, slots=True)
class Atom:
    """A word, or a string in quotes."""

    text: str
    location: SourceLocation
    quoted: bool = False


@dataclass(frozen=True, slots=True)
class Form:
    """A parenthesized list."""

    items: tuple[Atom | Form, ...]
    location: SourceLocation


Forms = tuple[Form, ...]


def read(text: str, file: str) -> Forms:
    """Parse a text into forms; raise :class:`ReadError` for the first syntax error."""
    try:
        tree = _parser.parse(text)
    except UnexpectedInput as error:
        raise _to_read_error(error, text, file) from None
    return tuple(_form(node, 1, file) for node in tree.children if isinstance(node, Tree))


def _to_read_error(error: UnexpectedInput, text: str, file: str) -> ReadError:
    is_at_end = isinstance(error, UnexpectedToken) and error.token.type == END_TOKEN
    if is_at_end or isinstance(error, UnexpectedEOF):
        return ReadError(file, _find_open_bracket(text), UNCLOSED_BRACKET)
    location = SourceLocation(error.line, error.column)
    if isinstance(error, UnexpectedToken):
        if error.token == ")":
            return ReadError(file, location, "a closing bracket too many")
        return ReadError(file, location, f"{str(error.token)!r} outside brackets")
    if isinstance(error, UnexpectedCharacters):
        return ReadError(file, location, "a string that does not end on its line")
    return ReadError(file, location, "not an S-expression")


def _form(tree: Tree[Token], depth: int, file: str) -> Form:
    location = SourceLocation(tree.meta.line, tree.meta.column)
    if depth > MAX_DEPTH:
        raise ReadError(file, location, f"brackets nested more than {MAX_DEPTH} deep")
    items: list[Atom | Form] = []
    for child in tree.children:
        items.append(_form(child, depth + 1, file) if isinstance(child, Tree) else _atom(child, file))
    return Form(tuple(items), location)


def _atom(token: Token, file: str) -> Atom:
    location = _location_of(token)
    if token.type != "STRING":
        return Atom(str(token), location)
    characters: list[str] = []
    rest = iter(str(token)[1:-1])
    for character in rest:
        if character != "\\":
            characters.append(character)
            continue
        code = next(rest)
        if code not in ESCAPES:
            raise ReadError(file, location, f"unknown escape \\{code} in a string")
        characters.append(ESCAPES[code])
    return Atom("".join(characters), location, quoted=True)


def _find_open_bracket(text: str) -> SourceLocation:
    """Return the location of the innermost bracket that is not closed."""
    open_brackets: list[SourceLocation] = []
    for token in _parser.lex(text):
        if token == "(":
            open_brackets.append(_location_of(token))
        elif token == ")" and open_brackets:
            open_brackets.pop()
    return open_brackets[-1] if open_brackets else START_OF_FILE


def _location_of(token: Token) -> SourceLocation:
    return SourceLocation(token.line or 0, token.column or 0)
