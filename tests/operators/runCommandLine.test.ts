import { createHash } from "node:crypto";
import { mkdtempSync, writeFileSync } from "node:fs";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import polka from "polka";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { AuditTrail, type ConfigurationDocument } from "../../src/configuration/index.js";
import { FakeNetwork, FakeStore } from "../../src/fakes/index.js";
import { Decision, DecisionHistory } from "../../src/logging/index.js";
import { ExitCode, OperatorApi, runCommandLine } from "../../src/operators/index.js";
import { SystemClock } from "../../src/time/index.js";
import type { ChangeHost } from "../support/ChangeHost.js";
import { checkSnapshot } from "../support/checkSnapshot.js";
import { createChangeHost } from "../support/createChangeHost.js";
import { createTestDocument } from "../support/createTestDocument.js";

const TOKENS = ["office", "sales", "lookups"].map(name => (
    { name, tokenHash: createHash("sha256").update(`${name}-token`).digest("base64url") }
));
const WALL_TIME = 1_800_000_000_000;
const CLOSED_ADDRESS = "127.0.0.1:1";

const clock = Object.assign(new SystemClock(), { getWallTime: () => WALL_TIME });
const store = new FakeStore(clock);
const host: ChangeHost = createChangeHost(clock, new FakeNetwork(clock), store);
const folder = mkdtempSync(join(tmpdir(), "fuchsiapath-"));
const server = createServer();
let address = "";
const transcript: string[] = [];

test.before(async () => {
    const decisions = new DecisionHistory(clock);
    decisions.record({ decision: Decision.Ejected, reason: "errors", upstream: "orders-0", figures: { evidence: 7 } });
    const app = polka({ server });
    const api = new OperatorApi({
        operators: TOKENS,
        changeService: host.service,
        loader: host.loader,
        auditTrail: new AuditTrail(store),
        decisions,
        getStatus: () => ({ version: host.loader.getHead().version }),
    });
    api.addRoutes(app);
    server.on("request", (request, response) => app.handler(request as polka.Request, response));
    address = await startServer(server);
});

test.after(() => {
    server.closeAllConnections();
    server.close();
});

test("operators apply a document, change items and read the audit trail", async () => {
    const document = createTestDocument();
    await run("office", ["show"]);
    await run("lookups", ["apply", writeDocument("all", document)], ExitCode.Refused);
    await run("office", ["apply", writeDocument("accounts", document), "--section", "accounts"]);
    await run("lookups", ["apply", writeDocument("catalogue", document), "--section", "catalogue"]);
    await run("sales", ["apply", writeDocument("orders", document), "--section", "orders"]);
    await run("sales", ["apply", writeDocument("same", document)]);
    await run("office", ["account", "set", "shop-3", "--rate", "5", "--burst", "9"]);
    await run("lookups", ["account", "remove", "shop-3"], ExitCode.Refused);
    await run("office", ["key", "withdraw", "k1"]);
    await run("sales", ["drain", "orders-1"]);
    await run("sales", ["diff", writeDocument("old", document)]);
    await run("office", ["outcome", "change-2"]);
    await run("office", ["outcome", "nothing"], ExitCode.Refused);
    await run("office", ["status"]);
    await run("office", ["explain", "--upstream", "orders-0"]);
    await run("office", ["audit", "--limit", "3"]);
    checkSnapshot("operators/transcript", transcript.join("\n"));
});

test("a created key is printed once and stored only as a salted hash", async () => {
    const lines = await run("office", ["key", "create", "shop-1", "--json"]);
    const { key, keyId, kind } = JSON.parse(lines.join("\n")) as Record<string, string>;
    assert.is(kind, "accepted");
    const shown = (await run("office", ["show"])).join("\n");
    assert.ok(shown.includes(keyId!));
    assert.not.ok(shown.includes(key!.split(".")[1]!));
});

test("a change made from an older version of a section that was changed since is refused", async () => {
    const document = createTestDocument();
    const older = { version: 1, ...document };
    const lines = await run("sales", ["apply", writeDocument("older", older), "--section", "orders"], ExitCode.Refused);
    assert.match(lines.join("\n"), "sections.orders: was changed in version");
});

test("a change that is stored but not confirmed has its own exit code, and its outcome can be queried later", async () => {
    host.isMajorityReached = false;
    await run("office", ["key", "withdraw", "k1", "--change-id", "slow"], ExitCode.Unconfirmed);
    host.isMajorityReached = true;
    await run("office", ["outcome", "slow"]);
});

test("while the store is unavailable changes fail as unreachable, and an earlier change is still confirmed", async () => {
    const { version } = host.loader.getHead();
    store.faults.isAway = true;
    const args = ["account", "set", "shop-2", "--rate", "1", "--burst", "1", "--change-id", "away"];
    await run("office", args, ExitCode.Unreachable);
    await run("office", ["outcome", "slow"]);
    await run("office", ["outcome", "away"], ExitCode.Unreachable);
    store.faults.isAway = false;
    await run("office", ["outcome", "away"], ExitCode.Refused);
    assert.is(host.loader.getHead().version, version);
});

test("invalid input, a wrong token and unreachable hosts have their own exit codes", async () => {
    const broken = { sections: { a: { owners: [], accounts: [{ name: "x y" }] } } };
    await run("office", ["check", writeDocument("broken", broken)], ExitCode.InvalidInput);
    await run("office", ["check", join(folder, "missing.json")], ExitCode.InvalidInput);
    await run("office", ["account", "set", "shop-3"], ExitCode.InvalidInput);
    await run("office", ["no-such-command"], ExitCode.InvalidInput);
    await run("office", ["account", "set", "shop 3", "--rate", "1", "--burst", "1"], ExitCode.InvalidInput);
    await run("nobody", ["status"], ExitCode.Refused);
    const options = ["--address", CLOSED_ADDRESS, "--token", "x"];
    assert.is(await runCommandLine(["status", ...options], {}, createOutput([])), ExitCode.Unreachable);
});

test("the next host is tried if one can't be reached", async () => {
    const options = ["--address", CLOSED_ADDRESS, "--address", address, "--token", "office-token"];
    assert.is(await runCommandLine(["status", ...options], {}, createOutput([])), ExitCode.Success);
});

test("each command has a help page", async () => {
    const pages: string[] = [];
    const commands = [
        "",
        "check",
        "diff",
        "apply",
        "show",
        "account",
        "account set",
        "account remove",
        "key",
        "key create",
    ];
    for (const command of [...commands, "key withdraw", "drain", "status", "explain", "audit", "outcome"]) {
        const args = [...command.split(" ").filter(word => word !== ""), "--help"];
        assert.is(await runCommandLine(args, {}, createOutput(pages)), ExitCode.Success);
    }
    checkSnapshot("operators/help", pages.join("\n\n"));
});

test.run();

async function run(operator: string, args: string[], expected = ExitCode.Success): Promise<string[]> {
    const lines: string[] = [];
    const isChange = args[1]?.endsWith("same.json") !== true &&
        ["apply", "account", "key", "drain"].includes(args[0]!) && !args.includes("--change-id");
    const changeId = isChange ? ["--change-id", `change-${host.loader.getHead().version}`] : [];
    const environment = { FUCHSIAPATH_ADDRESS: address, FUCHSIAPATH_TOKEN: `${operator}-token` };
    const exitCode = await runCommandLine([...args, ...changeId], environment, createOutput(lines));
    transcript.push(`${operator}> ${args.join(" ").replaceAll(folder, "")}`, ...lines, `exit code ${exitCode}`, "");
    assert.is(exitCode, expected, `${args.join(" ")}: ${lines.join("\n")}`);
    return lines;
}

function createOutput(lines: string[]): Parameters<typeof runCommandLine>[2] {
    const write = (text: string): void => void lines.push(text);
    return { write, writeError: write };
}

function writeDocument(name: string, document: ConfigurationDocument | object): string {
    const file = join(folder, `${name}.json`);
    writeFileSync(file, JSON.stringify(document));
    return file;
}

function startServer(started: Server): Promise<string> {
    return new Promise(resolve => {
        started.listen(0, "127.0.0.1", () => resolve(`127.0.0.1:${(started.address() as AddressInfo).port}`));
    });
}
