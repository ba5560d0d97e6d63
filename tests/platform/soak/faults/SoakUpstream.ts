import { SeededRandom } from "../../../../src/random/index.js";
import { MockPlatformUpstream } from "../../support/MockPlatformUpstream.js";
import { UpstreamFaultMode } from "../../support/UpstreamFaultMode.js";
import { LoopbackProxy } from "./LoopbackProxy.js";

const DELAY_MS = 30;

interface UpstreamFault {
    readonly mode: UpstreamFaultMode;
    readonly percent: number;
}

/** A place for an upstream: an address behind a proxy, at which one upstream follows another. */
export class SoakUpstream {
    readonly proxy = new LoopbackProxy();
    readonly zone: string;
    service: string;
    /** The upstream that runs there; undefined between two. */
    current: MockPlatformUpstream | undefined;
    address = "";
    /** All upstreams that ever ran there, with their services. */
    readonly history: { readonly upstream: MockPlatformUpstream; readonly service: string; }[] = [];
    readonly #random: SeededRandom;
    #faults: readonly UpstreamFault[] = [];

    /**
     * @param service - Its service.
     * @param zone - Its availability zone.
     * @param seed - Selects the requests that go wrong.
     */
    constructor(service: string, zone: string, seed: number) {
        this.service = service;
        this.zone = zone;
        this.#random = new SeededRandom(seed);
    }

    /**
     * Starts an upstream.
     * @param id - Its id.
     * @param service - Its service.
     */
    async start(id: string, service: string): Promise<void> {
        if (this.address === "") {
            this.address = await this.proxy.start();
        }
        const upstream = new MockPlatformUpstream(id);
        upstream.delayMs = DELAY_MS;
        upstream.acceptsUnnamed = true;
        upstream.selectFault = () => this.#selectFault();
        this.service = service;
        this.history.push({ upstream, service });
        this.proxy.target = await upstream.start();
        this.current = upstream;
    }

    /** Ends the upstream at once, if one runs. */
    async stopCurrent(): Promise<void> {
        const upstream = this.current;
        this.current = undefined;
        this.proxy.target = undefined;
        this.proxy.closeConnections();
        await upstream?.stop();
    }

    /**
     * Lets a share of the requests go wrong.
     * @param fault - What happens to them.
     * @returns Ends the fault.
     */
    addFault(fault: UpstreamFault): () => void {
        this.#faults = [...this.#faults, fault];
        return () => (this.#faults = this.#faults.filter(other => other !== fault));
    }

    #selectFault(): UpstreamFaultMode {
        const fault = this.#faults.find(({ percent }) => this.#random.getNext() * 100 < percent);
        return fault?.mode ?? UpstreamFaultMode.None;
    }
}
