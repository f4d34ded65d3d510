"""Tests of loading settings files."""

from __future__ import annotations

import json

import pytest

from cactushall_core import findings
from cactushall_daemon.config import base, documents, schema
from tests.standins import site as site_standin

VALID = """\
node: entry-0
zone: attica-1
address: 127.0.2.1
store: ["127.0.0.2:2379"]
key_files: [key]
control_certificate: control.pem
control_private_key: control_key.pem
control_authority: control.pem
"""


@pytest.fixture
def directory(tmp_path):
    site_standin.write_secrets(tmp_path)
    (tmp_path / "short").write_text("abcd")
    return tmp_path


def load(directory, text, cls=schema.EntrySettings):
    path = directory / "settings.yaml"
    path.write_text(text)
    return base.load(cls, path)


def test_valid_settings_are_loaded(directory):
    settings, found = load(directory, VALID)
    assert found == []
    assert settings.node == "entry-0"
    assert settings.gossip_port == 7946
    assert settings.store[0].port == 2379


def test_all_findings_are_reported_with_line_and_key(directory):
    text = """\
node: ""
zone: attica-1
address: somewhere
gossip_port: 99999
store: ["127.0.0.2"]
key_files: [short, missing]
colour: blue
"""
    settings, found = load(directory, text)
    assert settings is None
    places = [(f.place.line, f.place.key) for f in found]
    assert places == [
        (1, "node"),
        (3, "address"),
        (4, "gossip_port"),
        (5, "store.0"),
        (6, "key_files.0"),
        (6, "key_files.1"),
        (7, "colour"),
    ]


def test_missing_options_are_reported(directory):
    _, found = load(directory, "node: a\n")
    missing = {f.place.key for f in found}
    assert missing == {"zone", "address", "key_files"}


def test_nested_options_have_dotted_keys(directory):
    text = VALID + "certificate: none\nprivate_key: none\nendpoints: [{slots: 0}]\n"
    _, found = load(directory, text, schema.AgentSettings)
    keys = {f.place.key for f in found}
    assert {"certificate", "endpoints.0.slots", "endpoints.0.service"} <= keys


@pytest.mark.parametrize("text", ["", "- a\n", "a: [\n", "node: a\nnode: b\n"])
def test_malformed_document_is_reported(directory, text):
    settings, found = load(directory, text)
    assert settings is None
    assert findings.has_errors(found)


def test_missing_file_is_reported(tmp_path):
    settings, found = base.load(schema.EntrySettings, tmp_path / "none.yaml")
    assert settings is None
    assert "cannot read" in found[0].message


def test_settings_without_peers_cause_a_warning(directory):
    settings, found = load(directory, VALID.replace('store: ["127.0.0.2:2379"]\n', ""))
    assert settings is not None
    assert [f.severity for f in found] == [findings.Severity.WARNING]


def test_equal_ports_are_rejected(directory):
    _, found = load(directory, VALID + "control_port: 7946\n")
    assert found[0].place.key == "control_port"


def test_invalid_certificate_is_rejected(directory):
    text = VALID + (
        "certificate: key\nprivate_key: key\n"
        "endpoints: [{service: a, server: '127.0.0.1:80'}]\n"
    )
    settings, found = load(directory, text, schema.AgentSettings)
    assert findings.has_errors(found)
    assert any(f.place.key == "certificate" for f in found)


def test_control_files_must_be_set_together(directory):
    text = VALID.replace("control_authority: control.pem\n", "")
    _, found = load(directory, text)
    assert "needs control_authority" in found[0].message


def test_missing_control_files_cause_a_warning(directory):
    text = VALID[: VALID.index("control_certificate")]
    settings, found = load(directory, text)
    assert settings is not None
    assert [f.severity for f in found] == [findings.Severity.WARNING]


def test_settings_in_json_are_loaded(directory):
    document = {
        "node": "entry-0",
        "zone": "attica-1",
        "address": "127.0.2.1",
        "gossip_port": 7000,
        "store": ["127.0.0.2:2379"],
        "key_files": ["key"],
        "control_certificate": "control.pem",
        "control_private_key": "control_key.pem",
        "control_authority": "control.pem",
    }
    settings, found = load(directory, json.dumps(document))
    assert found == []
    assert settings.gossip_port == 7000
    assert settings.store[0].port == 2379


def test_findings_in_json_have_lines_and_include_duplicate_keys(directory):
    text = """\
{
  "node": "entry-0",
  "zone": "attica-1",
  "zone": "attica-2",
  "gossip_port": 99999
}
"""
    settings, found = load(directory, text)
    assert settings is None
    places = {(f.place.line, f.place.key) for f in found}
    assert {(4, "zone"), (5, "gossip_port")} <= places


def test_json_and_yaml_parsers_agree():
    text = '{"a": [1, 2.50, "x", true, null, {"b": {}}], "a": 1e3, "c": "\\u00e9"}'
    from_yaml = documents.from_yaml(text)
    assert without_lines(documents.from_json(text)) == without_lines(from_yaml)


def without_lines(node):
    if isinstance(node, documents.Mapping):
        return [(key.value, without_lines(value)) for key, value in node.pairs]
    if isinstance(node, documents.Sequence):
        return [without_lines(item) for item in node.items]
    return node.value


def test_document_that_refers_to_itself_is_rejected(directory):
    settings, found = load(directory, "node: &a [*a]")
    assert settings is None
    assert "refers to itself" in str(found[0])
