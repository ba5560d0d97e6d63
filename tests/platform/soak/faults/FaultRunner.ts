import { setTimeout as wait } from "node:timers/promises";
import type { StoreFaultMode } from "../../support/StoreFaultMode.js";
import { StoreFaultMode as StoreMode } from "../../support/StoreFaultMode.js";
import type { SoakLoad } from "../load/SoakLoad.js";
import { LinkKind } from "../plan/LinkKind.js";
import type { SoakFault } from "../plan/SoakFault.js";
import { SoakFaultKind } from "../plan/SoakFaultKind.js";
import type { SoakPlan } from "../plan/SoakPlan.js";
import { Disturbances } from "./Disturbances.js";
import type { SoakFleet } from "./SoakFleet.js";
import type { SoakHost } from "./SoakHost.js";
import type { SoakUpstream } from "./SoakUpstream.js";

/** Duration of a step, in milliseconds. */
const STEP_MS = 250;
/** Time until a process is killed after SIGTERM: its grace period and a little more, in milliseconds. */
const GRACE_MS = 3_500;
/** How long a leaving upstream serves on, in milliseconds: longer than requests may still come. */
const LEAVING_MS = 6_000;

/** Runs the faults of a plan at a fleet. */
export class FaultRunner {
    readonly #fleet: SoakFleet;
    readonly #plan: SoakPlan;
    readonly #load: SoakLoad;
    /** Upstreams that a fault is replacing. */
    readonly #changing = new Set<SoakUpstream>();

    /**
     * @param fleet - The fleet.
     * @param plan - The plan.
     * @param load - The callers.
     */
    constructor(fleet: SoakFleet, plan: SoakPlan, load: SoakLoad) {
        this.#fleet = fleet;
        this.#plan = plan;
        this.#load = load;
    }

    /** Runs all faults, then brings back all hosts. */
    async run(): Promise<void> {
        await Promise.all(this.#plan.faults.map(async fault => {
            await wait(fault.step * STEP_MS);
            await this.#runFault(fault, fault.steps * STEP_MS);
        }));
        await Promise.all(this.#fleet.hosts.map(async host => {
            host.sendSignal("SIGCONT");
            await host.start();
        }));
    }

    async #runFault(fault: SoakFault, durationMs: number): Promise<void> {
        const { store, disturbances } = this.#fleet;
        switch (fault.kind) {
            case SoakFaultKind.Pause:
            case SoakFaultKind.Kill:
            case SoakFaultKind.Terminate:
            case SoakFaultKind.Reload:
                await this.#runHostFault(fault.kind, this.#getHost(fault.host), durationMs);
                return;
            case SoakFaultKind.Link:
                await this.#runLinkFault(fault, durationMs);
                return;
            case SoakFaultKind.Store:
                await this.#runStoreFault(fault.mode, durationMs);
                return;
            case SoakFaultKind.ForgetHistory:
                disturbances.add(Disturbances.store)();
                store.removeHistory();
                return;
            case SoakFaultKind.RestoreStore:
                await this.#restoreStore(durationMs);
                return;
            case SoakFaultKind.ChangeKeys:
                await this.#waitForStore();
                this.#fleet.publishNextKey();
                return;
            case SoakFaultKind.Upstream: {
                const endFault = this.#getUpstream(fault.upstream).addFault(fault);
                await wait(durationMs);
                endFault();
                return;
            }
            case SoakFaultKind.Service: {
                const { upstreams } = this.#fleet;
                const { service } = this.#getUpstream(fault.service);
                const ends = upstreams.filter(place => place.service === service).map(place => place.addFault(fault));
                await wait(durationMs);
                ends.forEach(endFault => endFault());
                return;
            }
            case SoakFaultKind.Press:
                await this.#load.runPress(fault.callers, durationMs);
                return;
            case SoakFaultKind.Leave:
                await this.#runUpstreamChange(
                    fault.upstream,
                    place => this.#runLeave(place, fault.isReported, durationMs),
                );
                return;
            case SoakFaultKind.Replace:
                await this.#runUpstreamChange(fault.upstream, place => this.#runReplacement(place, durationMs));
                return;
        }
    }

    async #runHostFault(kind: SoakFaultKind, host: SoakHost, durationMs: number): Promise<void> {
        const endDisturbance = this.#fleet.disturbances.add(host.id);
        if (kind === SoakFaultKind.Reload) {
            host.sendSignal("SIGHUP");
        }
        else if (kind === SoakFaultKind.Pause) {
            host.sendSignal("SIGSTOP");
            await wait(durationMs);
            host.sendSignal("SIGCONT");
        }
        else {
            host.sendSignal(kind === SoakFaultKind.Kill ? "SIGKILL" : "SIGTERM");
            if (kind === SoakFaultKind.Terminate && host.isRunning()) {
                await Promise.race([host.process.waitForExit(), wait(GRACE_MS)]);
                host.sendSignal("SIGKILL");
            }
            await wait(durationMs);
            await host.start();
        }
        endDisturbance();
    }

    async #runLinkFault(
        { link, target, mode }: Extract<SoakFault, { kind: SoakFaultKind.Link; }>,
        durationMs: number,
    ): Promise<void> {
        const place = this.#getUpstream(target);
        const host = this.#getHost(target);
        const [proxy, name] = link === LinkKind.HostsToUpstream
            ? [place.proxy, place.address]
            : [link === LinkKind.Hosts ? host.peerProxy : host.storeProxy, host.id];
        const endDisturbance = this.#fleet.disturbances.add(name);
        const endFault = proxy.addFault(mode);
        await wait(durationMs);
        endFault();
        endDisturbance();
    }

    async #runStoreFault(mode: StoreFaultMode, durationMs: number): Promise<void> {
        const { store, disturbances } = this.#fleet;
        const endDisturbance = disturbances.add(Disturbances.store);
        store.faultMode = mode;
        await wait(durationMs);
        store.faultMode = StoreMode.None;
        endDisturbance();
    }

    /** Upstreams that live are back in the store at once, as they write to it every few seconds. */
    async #restoreStore(durationMs: number): Promise<void> {
        const copy = this.#fleet.store.createCopy();
        await wait(durationMs);
        this.#fleet.disturbances.addPast(Disturbances.store, durationMs);
        this.#fleet.store.restoreCopy(copy);
        this.#fleet.publishUpstreams();
    }

    async #runUpstreamChange(index: number, change: (place: SoakUpstream) => Promise<void>): Promise<void> {
        const place = this.#getUpstream(index);
        if (this.#changing.has(place) || place.current === undefined) {
            return;
        }
        this.#changing.add(place);
        await change(place);
        this.#changing.delete(place);
    }

    async #runLeave(place: SoakUpstream, isReported: boolean, durationMs: number): Promise<void> {
        const { id } = place.current!;
        await this.#waitForStore();
        if (isReported) {
            this.#fleet.publishUpstream(place, "draining");
        }
        else {
            this.#fleet.store.remove(`servers/${id}`);
        }
        this.#fleet.leavingTimes.set(id, performance.now());
        await wait(LEAVING_MS);
        await place.stopCurrent();
        await this.#waitForStore();
        this.#fleet.store.remove(`servers/${id}`);
        await wait(durationMs);
        await this.#fleet.startUpstream(place, place.service);
    }

    /** For a time, the address belongs to an upstream of another service, while the old entry is still there. */
    async #runReplacement(place: SoakUpstream, durationMs: number): Promise<void> {
        const { id } = place.current!;
        const { service } = place;
        await place.stopCurrent();
        await this.#fleet.startUpstream(place, service === "orders" ? "catalogue" : "orders");
        await wait(durationMs);
        const other = place.current!.id;
        await this.#waitForStore();
        this.#fleet.store.remove(`servers/${id}`);
        await place.stopCurrent();
        this.#fleet.store.remove(`servers/${other}`);
        await this.#fleet.startUpstream(place, service);
    }

    async #waitForStore(): Promise<void> {
        while (!this.#fleet.isStoreAvailable()) {
            await wait(STEP_MS);
        }
    }

    #getHost(index: number): SoakHost {
        return this.#fleet.hosts[index % this.#fleet.hosts.length]!;
    }

    #getUpstream(index: number): SoakUpstream {
        return this.#fleet.upstreams[index % this.#fleet.upstreams.length]!;
    }
}
