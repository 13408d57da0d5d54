#!/usr/bin/env python3
"""Writes days of trouble for a site file, one TOML file each: what drawn days seldom bring about.

  tools/days.py SITE --kinds FILE --into FOLDER [--days N] [--seed N] [--shape NAME]

SITE is a site file; its zones, traffic, machines and what it tolerates are read from it. FILE is the list of kinds of trouble
that the bench prints for that site. The days and all site data stay outside the repository. The same seed writes the same days.
"""
import argparse
import random
import re
import sys
from pathlib import Path

CLOSINGS = ["power_off_all", "kill_all", "wipe_after_ack"]
ACTORS = ["leader", "seed", "reader"]
MEETINGS = ["meet", "race", "hard", "meet hard", "race hard", "drain"]
MACHINES = {"node_kill", "node_freeze", "core_cut", "clock_step"}
CORE = {"node_kill", "node_freeze", "roll_term", "herd_kill"}
PLANNED = {"release", "scale_in", "scale_out", "roll_term", "config_change", "bad_config", "config_race", "evacuate", "hup"}
ONE_ZONE = {"zone_loss", "zone_cut", "evacuate", "cold_return"}


class Refused(Exception):
    """What was given cannot be used; the message names the remedy."""


class Site:
    """What a site file says, as far as days need it."""

    def __init__(self, path):
        try:
            text = Path(path).read_text(encoding="utf-8")
        except OSError as error:
            raise Refused(f"{path} cannot be read ({error.strerror}); name a site file") from error
        top = text.split("[[day]]")[0]
        self.name = self.one(top, r'^name = "([^"]+)"', path)
        self.zones = re.findall(r'\{ name = "([^"]+)", region', self.one(top, r"(?s)^zones = \[(.*?)^\]", path))
        days = [part for part in text.split("[[day]]")[1:] if re.search(r'^slot = "quiet"', part, re.M)]
        if not days:
            raise Refused(f"{path} has no quiet day whose traffic could be taken; name a site file with one")
        self.traffic = re.search(r"(?s)^traffic = \[.*?^\]", days[0], re.M).group(0)
        self.wall = float(self.one(days[0], r"^wall = ([0-9.]+)", path))
        self.length = float(self.one(top, r"^length_s = ([0-9.]+)", path))
        self.catch_up = float(self.one(top, r"^catch_up_s = ([0-9.]+)", path))
        self.bearable = int(self.one(top, r"(?s)^\[tolerate\].*?^machines = (\d+)", path))

    @staticmethod
    def one(text, pattern, path):
        found = re.search(pattern, text, re.M)
        if found is None:
            raise Refused(f"{path} lacks what matches {pattern}; name a site file")
        return found.group(1)


def kinds(path):
    """The kinds of trouble and the ways of each, as the bench lists them."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise Refused(f"{path} cannot be read ({error.strerror}); save the bench's list of kinds there") from error
    known = {}
    for line in text.splitlines():
        found = re.match(r"^([a-z_]+): (.*)$", line)
        if found and found.group(1) not in ("zone",):
            ways = re.search(r"how: ([^;]*)", found.group(2))
            plain = re.sub(r"\([^()]*\)", "", re.sub(r"\([^()]*\([^()]*\)[^()]*\)", "", ways.group(1))) if ways else ""
            known[found.group(1)] = [word for word in re.findall(r"[a-z_]+", plain) if word != "on"]
    if not known:
        raise Refused(f"{path} names no kind of trouble; save the bench's list of kinds there")
    return known


class Maker:
    """Draws days for one site."""

    def __init__(self, site, known, chance):
        self.site = site
        self.known = known
        self.chance = chance

    def has(self, *names):
        return all(name in self.known for name in names)

    def entry(self, kind, at, **fields):
        entry = {"at": round(max(0.5, at), 2), "kind": kind}
        entry.update(fields)
        return entry

    def drawn(self, kind, at):
        """One trouble of a kind at this time, with a drawn way and strength."""
        fields = {}
        ways = self.known[kind]
        how = self.chance.choice(ways) if ways and self.chance.random() < 0.7 else ""
        if kind == "srv_lying_health":
            how = self.chance.choice(["errors", "hang", "reset", "bad"])
        if kind in CORE and self.chance.random() < 0.7:
            fields["on"] = "core"
        if kind in MACHINES and (fields.get("on") == "core" or kind == "core_cut"):
            fields["count"] = 1
            way = "" if how in ("seeds", "both") else self.chance.choice(ACTORS) + " " + self.chance.choice(MEETINGS)
            how = (way + " " + how).strip()
        elif kind == "zone_loss":
            how = self.chance.choice(["", "meet"])
        elif kind == "roll_term" and how != "remove":
            how = self.chance.choice(["", "busy"])
        if kind in ONE_ZONE:
            fields["zone"] = self.chance.choice(self.site.zones)
        if kind not in ("config_change", "bad_config", "config_race", "release", "scale_in", "scale_out", "roll_term", "hup", "replace_core", "seed_turnover"):
            fields["for_s"] = round(self.chance.uniform(2.0, 6.0), 2)
        if kind == "burst":
            fields["x"] = 1.6
        if kind == "roll_term":
            fields["share"] = 0.4
        if kind in ("bad_config", "config_race"):
            fields["count"] = self.chance.randint(1, 4)
        if kind == "shift":
            first, second = self.chance.sample(self.site.zones, 2)
            fields.update(zone=first, to_zone=second)
        if how:
            fields["how"] = how
        return self.entry(kind, at, **fields)

    def change(self, at):
        return self.entry("config_change", at, how=self.chance.choice(["route", "weights", "timeout", "idle"]))

    def twice(self, kind, other):
        """A kind of trouble at a drawn moment, again later, and another kind close to each."""
        first = self.chance.uniform(3, 9)
        second = first + self.chance.uniform(4, 13)
        entries = [self.drawn(kind, first), self.drawn(kind, second)]
        entries += [self.drawn(other, at + self.chance.uniform(-1.5, 2.5)) for at in (first, second)]
        return entries + [self.change(at + self.chance.uniform(-0.5, 1.5)) for at in (first, second)]

    def cut_in_replacement(self):
        entries = []
        for at in (4.0, 4.0 + self.site.catch_up + self.chance.uniform(6, 9)):
            entries.append(self.entry("replace_core", at, x=round(self.chance.uniform(0.2, 2.0), 2), how=self.chance.choice(["", "planned"])))
            entries.append(self.entry("core_cut", at + self.chance.uniform(0.1, 4.0), count=1, for_s=round(self.chance.uniform(2, 6), 2),
                                      how=self.chance.choice(["leader one_way", "leader race", "leader meet hard", "both", "seeds", "reader one_way"])))
            entries += [self.change(at + self.chance.uniform(0, 5)) for _ in range(4)]
        return entries

    def second_loss(self):
        entries = []
        at = 3.0
        for _ in range(3):
            lasts = round(self.chance.uniform(1.5, 3.5), 2)
            kind = self.chance.choice([name for name in ("node_kill", "zone_loss", "node_freeze", "replace_core") if name in self.known])
            if kind == "zone_loss":
                entries.append(self.entry(kind, at, zone=self.chance.choice(self.site.zones), for_s=lasts, how="meet"))
            elif kind == "replace_core":
                entries.append(self.entry(kind, at, x=0.5))
            else:
                entries.append(self.entry(kind, at, on="core", count=self.site.bearable, for_s=lasts, how=self.chance.choice(["leader meet", "leader race", "seed hard", "leader drain"])))
            entries += [self.change(at + self.chance.uniform(0, lasts + self.site.catch_up)) for _ in range(3)]
            at += lasts + self.site.catch_up + self.chance.uniform(0.0, 1.0)
        return entries

    def wipe_with_newcomer(self):
        entries = []
        for at in (4.0, 6.0 + 2 * self.site.catch_up + self.chance.uniform(1, 4)):
            entries.append(self.entry("replace_core", at, x=0.3, how=self.chance.choice(["", "planned"])))
            entries.append(self.change(at + self.site.catch_up))
            entries.append(self.entry("after_ack_wipe", at + self.site.catch_up + self.chance.uniform(0.3, 1.2), for_s=round(self.chance.uniform(1, 4), 2)))
            entries += [self.change(at + self.site.catch_up + self.chance.uniform(0.5, 3)) for _ in range(3)]
        return entries

    def many_changes(self):
        end = self.site.length - 8
        every = self.chance.choice([0.1, 0.14, 0.2])
        entries = [self.change(2 + every * step) for step in range(int((end - 2) / every))]
        kind = self.chance.choice(["node_kill", "core_cut", "node_freeze"])
        fields = {"count": 1, "for_s": round(self.chance.uniform(8, 14), 2), "how": self.chance.choice(["leader", "seed", "leader hard"])}
        if kind != "core_cut":
            fields["on"] = "core"
        entries.append(self.entry(kind, self.chance.uniform(3, 6), **fields))
        entries.append(self.entry("core_cut", end - 1, count=1, for_s=3.0, how="leader race"))
        return entries

    def zones_in_turn(self):
        order = self.chance.sample(self.site.zones, min(3, len(self.site.zones)))
        entries = [self.entry("zone_loss", 3 + 13 * place, zone=zone, for_s=round(self.chance.uniform(2, 5.5), 2), how="meet") for place, zone in enumerate(order)]
        return entries + [self.change(at) for at in (5, 14, 23, 31, 40)]

    def both_ways(self):
        entries = []
        for at, how in ((4.0, "both"), (13.0, "leader one_way"), (20.0, "both")):
            entries.append(self.entry("core_cut", at, count=1, for_s=round(self.chance.uniform(2, 5), 2), how=how))
            entries.append(self.entry("config_race", at + self.chance.uniform(0.2, 2), count=3, gap_s=0.7))
            entries.append(self.entry("ack_lost", at + self.chance.uniform(0, 1), x=0.7, for_s=4.0))
            entries += [self.change(at + self.chance.uniform(0, 5)) for _ in range(3)]
        return entries

    def shapes(self):
        shapes = {"second-loss": self.second_loss, "many-changes": self.many_changes}
        if self.has("replace_core"):
            shapes["cut-in-replacement"] = self.cut_in_replacement
            if self.has("after_ack_wipe"):
                shapes["wipe-with-newcomer"] = self.wipe_with_newcomer
        if self.has("zone_loss"):
            shapes["zones-in-turn"] = self.zones_in_turn
        if self.has("config_race", "ack_lost"):
            shapes["both-ways"] = self.both_ways
        return shapes


def write(value):
    return '"%s"' % value if isinstance(value, str) else str(value)


def day(site, name, seed, closing, entries):
    """The text of one day."""
    entries = sorted(entries, key=lambda entry: entry["at"])
    parts = {"plan": [entry for entry in entries if entry["kind"] in PLANNED], "faults": [entry for entry in entries if entry["kind"] not in PLANNED]}
    lines = ["[[day]]", 'name = "%s"' % name, 'slot = "trouble"', "seed = %d" % seed]
    if closing:
        lines.append('closing = { kind = "%s", down_s = 0.6 }' % closing)
    lines += ["one = 0.95", "zero = 0.45", "goal = { floor = 0.3 }", "labels = []", "wall = %s" % (2 * site.wall), "light = true"]
    for part, listed in parts.items():
        lines.append(part + " = [")
        lines += ["  { " + ", ".join("%s = %s" % (key, write(value)) for key, value in entry.items()) + " }," for entry in listed]
        lines.append("]")
    return "\n".join(lines) + "\n" + site.traffic + "\n"


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("site")
    parser.add_argument("--kinds", required=True)
    parser.add_argument("--into", required=True)
    parser.add_argument("--days", type=int, default=12)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--shape", help="only days of this shape")
    options = parser.parse_args()
    try:
        if not 1 <= options.days <= 1000:
            raise Refused("--days takes a number from 1 to 1000")
        site = Site(options.site)
        known = kinds(options.kinds)
        chance = random.Random("%s %d" % (site.name, options.seed))
        maker = Maker(site, known, chance)
        shapes = maker.shapes()
        if options.shape and options.shape != "twice" and options.shape not in shapes:
            raise Refused("no shape %s on this site; there are twice, %s" % (options.shape, ", ".join(shapes)))
        if options.shape:
            plan = [options.shape] * options.days
        else:
            plan = [list(shapes)[index // 2 % len(shapes)] if index % 2 else "twice" for index in range(options.days)]
        folder = Path(options.into)
        folder.mkdir(parents=True, exist_ok=True)
        order = sorted(known)
        chance.shuffle(order)
        for index, shape in enumerate(plan):
            seed = chance.randrange(1, 2**31)
            name = "%s-%d-%02d" % (shape, options.seed, index)
            if shape == "twice":
                kind = order[index // 2 % len(order)]
                entries = maker.twice(kind, chance.choice([other for other in order if other != kind]))
                name = "%s-%d-%02d" % (kind.replace("_", "-"), options.seed, index)
            else:
                entries = shapes[shape]()
            closing = chance.choice(CLOSINGS + [""])
            (folder / (name + ".toml")).write_text(day(site, name, seed, closing, entries), encoding="utf-8")
            print(folder / (name + ".toml"))
    except Refused as refused:
        print("days: %s" % refused, file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
