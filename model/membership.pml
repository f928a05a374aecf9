/* Incarnation, accusation, answer, pause and one-sided cuts among three routers, checked in every order within the
   bounds below. What ships is C++ (src/peers); this model holds its rules of joining, answering and accusing, and
   model/check.sh takes the same guards out of it one by one. The join itself is checked on the shipped code for
   every triple of accounts (tests/peers_test.cpp).

   Abstracted: a datagram is one step that may or may not happen (loss, delay and order are all such choices);
   times that run out are steps that may happen at any moment after the accusation; zones, bytes and digests are
   left out. Bounds: N routers, FAULTS faults in all, incarnations up to TOP. */

#ifndef N
#define N 3
#endif
#ifndef FAULTS
#define FAULTS 3
#endif
#define TOP 7
#ifndef BUG
#define BUG 0
#endif

#define ALIVE 0
#define SUSPECTED 1
#define DEAD 2

#define AT(i, j) ((i) * N + (j))

byte incarnation[N * N];  /* [i, j]: what i holds of j; [i, i]: its own */
byte verdict[N * N];
bool gone[N * N];         /* told by j itself */
bool cut[N * N];          /* from i to j */
bool stopped[N];
byte probing[N];          /* whom, and 1; 0: nobody */
bool away[N];             /* was stopped while it waited for an answer */
bool said_gone[N];        /* the truth */
byte turn[N];
bool quiet = false;       /* no faults any more */
byte faults = FAULTS;

/* j is reached by i and can answer it, straight or through a helper that is neither cut off nor stopped. */
#define STRAIGHT(i, j) (!stopped[j] && !cut[AT(i, j)] && !cut[AT(j, i)])
#define HELPED(i, k, j) ((k) != (i) && (k) != (j) && !said_gone[k] && STRAIGHT(i, k) && STRAIGHT(k, j))
#if BUG == 7
#define REACHED(i, j) STRAIGHT(i, j)
#else
#define REACHED(i, j) (STRAIGHT(i, j) || (!stopped[j] && (HELPED(i, 0, j) || HELPED(i, 1, j) || HELPED(i, 2, j))))
#endif
#define TRULY_REACHED(i, j) (STRAIGHT(i, j) || (!stopped[j] && (HELPED(i, 0, j) || HELPED(i, 1, j) || HELPED(i, 2, j))))

/* Whether the account (inc, verd) is news against what i holds of k. */
#if BUG == 2
#define NEWER(i, k, inc, verd) ((inc) >= incarnation[AT(i, k)] && ((inc) > incarnation[AT(i, k)] || (verd) != verdict[AT(i, k)]))
#else
#define NEWER(i, k, inc, verd) ((inc) > incarnation[AT(i, k)] || ((inc) == incarnation[AT(i, k)] && (verd) > verdict[AT(i, k)]))
#endif

/* The datagram from i to j: j joins all that i holds, and answers what is said of itself. */
inline deliver(i, j, k) {
    k = 0;
    do
    :: k < N && k != j ->
        if
        :: NEWER(j, k, incarnation[AT(i, k)], verdict[AT(i, k)]) ->
            /* An incarnation never falls, and at the same one no verdict is taken back. */
            assert(incarnation[AT(i, k)] > incarnation[AT(j, k)] ||
                   (incarnation[AT(i, k)] == incarnation[AT(j, k)] && verdict[AT(i, k)] >= verdict[AT(j, k)]));
            incarnation[AT(j, k)] = incarnation[AT(i, k)];
            verdict[AT(j, k)] = verdict[AT(i, k)];
#if BUG == 3
            /* Who has gone is never there again in the same life. */
            assert(!gone[AT(j, k)] || gone[AT(i, k)]);
            gone[AT(j, k)] = gone[AT(i, k)]
#endif
        :: else
        fi;
        gone[AT(j, k)] = gone[AT(j, k)] || gone[AT(i, k)];
        k++
    :: k < N && k == j ->
        if
#if BUG == 4
        :: verdict[AT(i, j)] == SUSPECTED && incarnation[AT(i, j)] == incarnation[AT(j, j)] ->
#else
        :: verdict[AT(i, j)] != ALIVE && incarnation[AT(i, j)] == incarnation[AT(j, j)] && !said_gone[j] ->
#endif
#if BUG != 1
            if
            :: incarnation[AT(j, j)] < TOP -> incarnation[AT(j, j)]++
            :: else
            fi
#else
            skip
#endif
        :: else
        fi;
        k++
    :: k >= N -> break
    od;
    k = 0
}

proctype Router(byte i) {
    byte j, k;
    do
    /* A datagram to j comes. Also to those that are given up: else nobody would ever find them again. */
    :: atomic {
        !stopped[i] && !said_gone[i] ->
        /* Any, while there are faults; then in turn, which is what the order of probes comes to. */
        if
        :: quiet -> turn[i] = (turn[i] + 1) % N; j = turn[i]
        :: else ->
            j = 0;
            do
            :: j < N - 1 -> j++
            :: break
            od
        fi;
        if
#if BUG == 6
        :: j != i && !stopped[j] && !said_gone[j] && !cut[AT(i, j)] && verdict[AT(i, j)] != DEAD -> deliver(i, j, k)
#else
        :: j != i && !stopped[j] && !said_gone[j] && !cut[AT(i, j)] -> deliver(i, j, k)
#endif
        :: else
        fi;
        j = 0
       }
    /* A probe begins. */
    :: atomic {
        !stopped[i] && !said_gone[i] && probing[i] == 0 && !quiet ->
        j = 0;
        do
        :: j < N - 1 -> j++
        :: break
        od;
        if
        :: j != i && verdict[AT(i, j)] == ALIVE && !gone[AT(i, j)] -> probing[i] = j + 1
        :: else
        fi;
        j = 0
       }
    /* It ends: with an answer, straight or through a helper, or with an accusation. */
    :: atomic {
        !stopped[i] && !said_gone[i] && probing[i] > 0 ->
        j = probing[i] - 1;
        probing[i] = 0;
        if
        :: REACHED(i, j) && !said_gone[j] && !away[i] -> skip
        :: else ->
            /* Nobody accuses for what fell into its own pause, nor one that a helper can reach. */
            assert(!away[i]);
            assert(!TRULY_REACHED(i, j) || said_gone[j]);
            if
            :: verdict[AT(i, j)] == ALIVE && !gone[AT(i, j)] -> verdict[AT(i, j)] = SUSPECTED
            :: else
            fi
        fi;
        away[i] = false;
        j = 0
       }
    /* The time to answer is over. */
    :: atomic {
        !stopped[i] && !said_gone[i] && (verdict[AT(i, 0)] == SUSPECTED || verdict[AT(i, 1)] == SUSPECTED || verdict[AT(i, 2)] == SUSPECTED) ->
        j = 0;
        do
        :: j < N && verdict[AT(i, j)] == SUSPECTED -> verdict[AT(i, j)] = DEAD; break
        :: j < N && verdict[AT(i, j)] != SUSPECTED -> j++
        :: j >= N -> break
        od;
        j = 0
       }
    od
}

proctype Faults() {
    byte i, j;
    do
    :: atomic {
        faults > 0 -> faults--;
        i = 0;
        do
        :: i < N - 1 -> i++
        :: break
        od;
        j = 0;
        do
        :: j < N - 1 -> j++
        :: break
        od;
        if
        :: i != j -> cut[AT(i, j)] = !cut[AT(i, j)]
        :: i == j && !said_gone[i] && !stopped[i] -> stopped[i] = true;
            away[i] = (probing[i] > 0)
        :: i == j && stopped[i] -> stopped[i] = false;
#if BUG != 5
            probing[i] = 0;
            away[i] = false
#endif
        :: i == 0 && j == 0 && !said_gone[0] && !stopped[0] ->
            said_gone[0] = true;
            gone[AT(0, 0)] = true;
#if BUG != 3
            incarnation[AT(0, 0)]++;
#endif
            /* Its last word, to one or to nobody. */
            if
            :: !cut[AT(0, 1)] && !stopped[1] -> gone[AT(1, 0)] = true; incarnation[AT(1, 0)] = incarnation[AT(0, 0)]; verdict[AT(1, 0)] = ALIVE
            :: !cut[AT(0, 2)] && !stopped[2] -> gone[AT(2, 0)] = true; incarnation[AT(2, 0)] = incarnation[AT(0, 0)]; verdict[AT(2, 0)] = ALIVE
            :: skip
            fi
        :: skip
        fi;
        i = 0; j = 0
       }
    /* All faults end. */
    :: atomic {
        faults == 0 && !quiet ->
        do
        :: i < N ->
            if
            :: stopped[i] ->
                stopped[i] = false;
#if BUG != 5
                probing[i] = 0;
                away[i] = false
#endif
            :: else
            fi;
            j = 0;
            do
            :: j < N -> cut[AT(i, j)] = false; j++
            :: j >= N -> break
            od;
            i++
        :: i >= N -> break
        od;
        i = 0; j = 0;
        quiet = true
       }
    :: quiet -> break
    od
}

init {
    atomic {
        run Router(0);
        run Router(1);
        run Router(2);
        run Faults()
    }
}

#define SEEN(i, j) (verdict[AT(i, j)] == ALIVE || said_gone[j] || said_gone[i])
#define ALL_SEEN (SEEN(0, 1) && SEEN(0, 2) && SEEN(1, 0) && SEEN(1, 2) && SEEN(2, 0) && SEEN(2, 1))
/* Once no fault is left, all that are there come to see one another alive, and go on so. */
ltl heals { <> [] (ALL_SEEN) }
