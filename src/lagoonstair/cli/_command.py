"""Turns async functions into commands that share the common options."""

import functools
import inspect
import json as json_codec
import sys
import uuid
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import trio

from lagoonstair.cli._client import Client
from lagoonstair.cli._exits import (
    Exit,
    UnreachableError,
    UsageError,
    exit_code_for,
)
from lagoonstair.cli._target import (
    resolve_caller_target,
    resolve_operator_target,
)
from lagoonstair.exceptions import LagoonstairError

CLIENT_ARGUMENT_DOC = "    client: Sends the requests to the instances.\n"
"""Docstring line of the ``client`` argument, which is no command option.

Each command's docstring holds this line as it is; the help omits it.
"""
COMMON_OPTIONS_DOC = """
    {address}: The listener's address, as http://HOST:PORT{address_note}.
    key_file: A file that holds the key.
    profile: A JSON file with addresses and keys.
    json: Write JSON, for programs.
"""
"""Help of the options that ``_build_command`` adds to each command."""


class Output(NamedTuple):
    """The result of a command.

    Attributes:
        data: The value that ``--json`` prints.
        text: The text that is printed without ``--json``.
        exit: The exit code.
    """

    data: Any
    text: str
    exit: Exit = Exit.DONE


CommandFunction = Callable[..., Awaitable[Output]]
"""An async function that takes a client and the command's own options."""
Command = Callable[..., Exit]
"""A command as defopt runs it, with the common options in its signature."""


def operator_command(body: CommandFunction) -> Command:
    """Builds a command that sends requests to operator listeners."""

    async def run(
        operator: str, key_file: str, profile: str, options: dict[str, Any]
    ) -> Output:
        target = resolve_operator_target(operator, key_file, profile)
        return await body(Client(target), **options)

    return _build_command(
        body, run, "operator", " (separate several by commas)"
    )


def caller_command(body: CommandFunction) -> Command:
    """Builds a command that sends requests to a caller listener."""

    async def run(
        caller: str, key_file: str, profile: str, options: dict[str, Any]
    ) -> Output:
        target = resolve_caller_target(caller, key_file, profile)
        return await body(Client(target), **options)

    return _build_command(body, run, "caller", "")


def ensure_operation_id(given: str) -> str:
    """Returns the given operation id, or generates and prints a new one.

    The new id goes to standard error before the request is sent, so that an
    operator can repeat a command whose outcome is unknown.

    Args:
        given: The id from the command line; empty to generate one.
    """
    if given:
        return given
    operation_id = uuid.uuid4().hex
    print(f"operation id {operation_id}", file=sys.stderr)
    return operation_id


def run_and_print(run: Callable[[], Awaitable[Output]], *, json: bool) -> Exit:
    """Runs a command, prints its output or error, and returns the exit code.

    Args:
        run: The command, with all its arguments bound.
        json: Whether to print JSON instead of text.
    """
    try:
        output = trio.run(run)
    except (LagoonstairError, UnreachableError, UsageError) as exc:
        return _print_error(exc, json=json)
    if json:
        print(json_codec.dumps(output.data, indent=2, sort_keys=True))
    else:
        print(output.text)
    return output.exit


def _print_error(exc: Exception, *, json: bool) -> Exit:
    """Prints an error and returns the exit code that belongs to it."""
    code = exit_code_for(exc)
    if json:
        print(json_codec.dumps(_format_error_data(exc, code)))
    else:
        print(f"lagoonstair: {exc}", file=sys.stderr)
        if isinstance(exc, LagoonstairError):
            print(f"lagoonstair: {_format_retry_advice(exc)}", file=sys.stderr)
    return code


def _format_error_data(exc: Exception, code: Exit) -> dict[str, Any]:
    """Returns an error as the JSON object that ``--json`` prints."""
    error: dict[str, Any] = {"exit": code.name.lower(), "message": str(exc)}
    if isinstance(exc, LagoonstairError):
        error["kind"] = exc.kind.value
        error["outcome"] = exc.response.outcome.value
        error["retry"] = exc.response.retry.value
        error["retry_after"] = exc.retry_after
    return {"error": error}


def _format_retry_advice(exc: LagoonstairError) -> str:
    """Describes the outcome of a failed request and whether to retry it."""
    after = f" after {exc.retry_after:g} s" if exc.retry_after else ""
    outcome, retry = exc.response.outcome.value, exc.response.retry.value
    return f"outcome {outcome}, retry {retry}{after}"


def _build_command(
    body: CommandFunction,
    run: Callable[..., Awaitable[Output]],
    address_name: str,
    address_note: str,
) -> Command:
    """Adds the common options to a command's signature and help.

    Args:
        body: The function whose signature and docstring the command extends.
        run: Resolves the target and calls ``body``.
        address_name: The name of the option that holds the address.
        address_note: Text that the help appends to the address format.
    """

    def command(*args: Any, **options: Any) -> Exit:
        json = options.pop("json")
        address = options.pop(address_name)
        key_file, profile = options.pop("key_file"), options.pop("profile")
        bound = dict(zip(positional, args, strict=True)) | options
        return run_and_print(
            functools.partial(run, address, key_file, profile, bound), json=json
        )

    command_params = list(
        inspect.signature(body, eval_str=True).parameters.values()
    )[1:]
    positional = [
        param.name
        for param in command_params
        if param.kind is inspect.Parameter.POSITIONAL_OR_KEYWORD
    ]
    command.__name__ = body.__name__
    command.__doc__ = _build_help(body, address_name, address_note)
    signature = inspect.Signature(
        [*command_params, *_common_options(address_name)],
        return_annotation=Exit,
    )
    command.__signature__ = signature  # type: ignore[attr-defined]
    command.__annotations__ = {
        param.name: param.annotation for param in signature.parameters.values()
    }
    return command


def _build_help(
    body: CommandFunction, address_name: str, address_note: str
) -> str:
    """Returns the docstring of a command, with the common options added."""
    doc = (inspect.getdoc(body) or "").replace(CLIENT_ARGUMENT_DOC, "")
    common = COMMON_OPTIONS_DOC.format(
        address=address_name, address_note=address_note
    )
    start = "" if "Args:" in doc else "\n\nArgs:"
    return f"{doc.rstrip()}{start}{common}"


def _common_options(address_name: str) -> list[inspect.Parameter]:
    """Returns the signature parameters of the common options."""
    names = (address_name, "key_file", "profile")
    text_options = [
        inspect.Parameter(
            name, inspect.Parameter.KEYWORD_ONLY, default="", annotation=str
        )
        for name in names
    ]
    json_option = inspect.Parameter(
        "json", inspect.Parameter.KEYWORD_ONLY, default=False, annotation=bool
    )
    return [*text_options, json_option]
