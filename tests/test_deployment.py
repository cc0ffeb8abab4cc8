from dataclasses import replace
from re import findall

import pytest

from demo.deployment import PLANS_BY_NAME, plan_deployment
from demo.examples import EXAMPLES_BY_NAME, keep_subset, read_example
from lycheeglade.checker import check_files
from lycheeglade.configuration import parse_hosts, parse_service
from lycheeglade.generator import generate_files
from lycheeglade.view import State

NETWORK = 77


@pytest.fixture(params=PLANS_BY_NAME)
def deployment(request):
    return PLANS_BY_NAME[request.param](NETWORK)


def read_tree(folder):
    paths = folder.rglob("*.ini")
    return {path.relative_to(folder): path.read_text() for path in paths}


def test_every_example_is_a_deployment():
    assert set(PLANS_BY_NAME) == set(EXAMPLES_BY_NAME)


def test_deployment_is_what_the_command_generates(deployment, tmp_path):
    settings = deployment.write(tmp_path / "trial")
    assert set(settings) == set(deployment.settings_by_host)
    assert check_files([tmp_path / "trial"]) == []
    generate_files(tmp_path / "trial" / "answers.ini", tmp_path / "generated")
    generated = read_tree(tmp_path / "generated")
    written = read_tree(tmp_path / "trial" / "values")
    for path in settings.values():
        written[path.relative_to(tmp_path / "trial")] = path.read_text()
    assert written == generated


def test_all_addresses_are_in_the_network(deployment):
    for text in deployment.text_by_name.values():
        networks = findall(r"\b(127\.\d+)\.\d+\.\d+\b", text)
        assert set(networks) == {f"127.{NETWORK}"}


def test_address_that_other_machines_have_is_refused():
    answers = read_example("reelbure")
    answers = replace(answers, team=replace(answers.team, platform="http://10.0.0.1"))
    with pytest.raises(ValueError, match="not on the loopback network"):
        plan_deployment(answers, NETWORK)


def test_only_what_leaves_is_published_as_leaving(deployment):
    service = deployment.services[0]
    first, *others = service.targets
    text = service.format_value({first.target_id})
    published = parse_service(text, "service", 0).targets_by_id
    assert published.pop(first.target_id) == replace(first, state=State.LEAVING)
    assert list(published.values()) == others
    text = deployment.format_hosts_value(first.zone, {first.host_id})
    leaving = [h.host_id for h in parse_hosts(text, "") if h.state is State.LEAVING]
    assert leaving == [first.host_id]


def test_part_of_the_answers_is_a_deployment():
    answers = keep_subset(read_example("reelbure"), 2, {"booth-sync": 3})
    deployment = plan_deployment(answers, NETWORK)
    assert [service.name for service in deployment.services] == ["booth-sync"]
    assert (len(deployment.balancers), len(deployment.targets)) == (2, 3)
    assert len(deployment.settings_by_host) == 5
