import { connect } from "node:net";
import type { Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { ReservedPorts } from "./support/ReservedPorts.js";

const PORTS = 130;
const BLOCK = 99;

test("two processes that begin with the same block of ports find different ones", async () => {
    const processes = [new ReservedPorts(BLOCK), new ReservedPorts(BLOCK)];
    const ports = new Set<number>();
    for (let index = 0; index < PORTS; index++) {
        (await Promise.all(processes.map(ports => ports.findPort()))).forEach(port => ports.add(port));
    }
    assert.is(ports.size, processes.length * PORTS);
});

test("someone who connects to a port while it is tried does not hold it up", async () => {
    const ports = new ReservedPorts(BLOCK);
    const next = await ports.findPort() + 1;
    const sockets: Socket[] = [];
    const timer = setInterval(() => sockets.push(connect(next, "127.0.0.1").on("error", () => {})), 0);
    for (let index = 0; index < PORTS; index++) {
        await ports.findPort();
        sockets.push(connect(next + index + 1, "127.0.0.1").on("error", () => {}));
    }
    clearInterval(timer);
    sockets.forEach(socket => socket.destroy());
});

test.run();
