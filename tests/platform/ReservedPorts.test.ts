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

test.run();
