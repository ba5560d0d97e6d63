import type { Member } from "../head/index.js";

/** Hosts that take their copy from the same host, unless others are silent. */
const FAN_OUT = 6;
/** Hosts beside its source that a host turns to before those above. */
const STAND_INS = 2;

interface TreePlace {
    /** Index of the availability zone. */
    readonly zone: number;
    /** Place in the order of the zone, from 0. */
    readonly place: number;
}

/** The order in which hosts take their copies from one another: a tree in each availability zone, a ring of the trees. */
export class ReplicaTree {
    readonly #zones: readonly (readonly Member[])[];
    readonly #self: Member;
    readonly #isSilent: (id: string) => boolean;
    readonly #places = new Map<string, TreePlace>();

    /**
     * @param zones - The hosts of each availability zone in the order of the tree.
     * @param self - This host, which may not be among them yet.
     * @param isSilent - Whether a host is known not to answer.
     */
    constructor(zones: readonly (readonly Member[])[], self: Member, isSilent: (id: string) => boolean) {
        this.#zones = zones;
        this.#self = self;
        this.#isSilent = isSilent;
        zones.forEach((members, zone) =>
            members.forEach((member, place) => this.#places.set(member.id, { zone, place }))
        );
    }

    /** Gets all hosts but this one. */
    getOthers(): readonly Member[] {
        return this.#zones.flat().filter(member => member.id !== this.#self.id);
    }

    /** Whether this host is the first one of its zone that answers; every host is while none is known. */
    isFirstInZone(): boolean {
        if (this.#places.size === 0) {
            return true;
        }
        const place = this.#places.get(this.#self.id);
        return place !== undefined && this.#findFirst(place.zone)?.id === this.#self.id;
    }

    /** Gets how many hosts are between this one and the first one of its zone's order, itself included. */
    getDepth(): number {
        let depth = 0;
        for (let place = this.#getSelfPlace().place; place > 0; place = getParent(place)) {
            depth++;
        }
        return depth;
    }

    /** Gets the hosts that this one may take its copy from, first choice first; silent ones are left out. */
    getSources(): readonly Member[] {
        return this.#getSourcesOf(this.#getSelfPlace(), this.#self.id);
    }

    /** Gets the hosts that take their copies from this one, the silent ones among them too. */
    getChildren(): readonly Member[] {
        return this.getOthers().filter(member =>
            this.#getSourcesOf(this.#places.get(member.id)!, member.id)[0]?.id === this.#self.id
        );
    }

    #getSourcesOf({ zone, place }: TreePlace, id: string): readonly Member[] {
        const sources = new Set<Member>();
        const add = (member: Member | undefined): void => {
            if (member !== undefined && member.id !== id && this.#isAnswering(member)) {
                sources.add(member);
            }
        };
        getPlacesAbove(place).forEach(above => add(this.#zones[zone]?.[above]));
        add(this.#findFirst(zone));
        const others = this.#zones.length - 1;
        for (let step = 0; step < others; step++) {
            // The ring of the first hosts has one direction; the others spread over it.
            const offset = place === 0 ? step : (place + step) % others;
            add(this.#findFirst((zone + 1 + offset) % this.#zones.length));
        }
        return [...sources];
    }

    #getSelfPlace(): TreePlace {
        const place = this.#places.get(this.#self.id);
        if (place !== undefined) {
            return place;
        }
        const zone = Math.max(0, this.#zones.findIndex(members => members[0]?.zone === this.#self.zone));
        return { zone, place: this.#zones[zone]?.length ?? 0 };
    }

    #findFirst(zone: number): Member | undefined {
        return this.#zones[zone]?.find(member => this.#isAnswering(member));
    }

    #isAnswering(member: Member): boolean {
        return member.id === this.#self.id || !this.#isSilent(member.id);
    }
}

/** Gets the places that a host may take its copy from, first choice first. */
function getPlacesAbove(place: number): readonly number[] {
    if (place === 0) {
        return [];
    }
    const parent = getParent(place);
    const places = [parent];
    if (parent > 0) {
        // Children of a host that is away spread over those beside it.
        const first = getParent(parent) * FAN_OUT + 1;
        for (let step = 0; step < STAND_INS; step++) {
            places.push(first + (parent - first + 1 + (place + step) % (FAN_OUT - 1)) % FAN_OUT);
        }
    }
    for (let above = parent; above > 0;) {
        above = getParent(above);
        places.push(above);
    }
    return places;
}

function getParent(place: number): number {
    return Math.floor((place - 1) / FAN_OUT);
}
