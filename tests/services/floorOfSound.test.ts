import { suite } from "uvu";
import * as assert from "uvu/assert";
import type { FloorFault } from "../support/FloorFault.js";
import { FloorLoad } from "../support/FloorLoad.js";

const SEEDS = [1, 2, 3];
/** As long as a network partition in the platform's scenarios. */
const SPAN = { start: 8_000, end: 16_000 };
/** Half of the upstreams are cut off from a fifth of the hosts that send to them, as in the quiet-day scenario. */
const CUT: FloorFault = { ...SPAN, upstreams: 0.49, hosts: 0.2, areHostsSilent: false, refused: 0 };
const DISTURBANCES: Readonly<Record<string, FloorFault>> = {
    "half of the upstreams are cut off from a fifth of the hosts": CUT,
    "a fifth of the hosts does not answer": { ...CUT, areHostsSilent: true },
    "one order in seven is refused before it reaches a pool": { ...CUT, hosts: 0, refused: 0.15 },
};

const test = suite("floor of undisturbed upstreams");

for (const [name, disturbance] of Object.entries(DISTURBANCES)) {
    for (const seed of SEEDS) {
        test(`while ${name}, seven in ten of the undisturbed upstreams are in use, seed ${seed}`, async () => {
            const load = new FloorLoad(seed, disturbance);
            await load.run();
            assert.equal(load.findBreaches(), []);
        });
    }
}

test.run();
